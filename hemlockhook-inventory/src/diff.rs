//! Line-based diff of two documents.

/// Number of context lines around each difference.
const CONTEXT: usize = 2;

/// Maximum number of line pairs that are compared; above it, all lines count as replaced.
const MAX_PAIRS: usize = 4_000_000;

/// One line of a diff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line<'a> {
    Same(&'a str),
    Removed(&'a str),
    Added(&'a str),
}

/// Returns a diff with context lines: `-` marks lines of the first text, `+` lines of the second.
/// Returns an empty string if the texts are equal.
pub fn unified_diff(from: &str, to: &str) -> String {
    let lines = compare(from, to);
    let in_context = |i: usize| {
        let context = i.saturating_sub(CONTEXT)..(i + CONTEXT + 1).min(lines.len());
        lines[context]
            .iter()
            .any(|line| !matches!(line, Line::Same(_)))
    };

    let mut text = String::new();
    let mut skipped = false;
    for (i, line) in lines.iter().enumerate() {
        if !in_context(i) {
            skipped = true;
            continue;
        }
        if std::mem::take(&mut skipped) {
            text += "  ...\n";
        }
        let (sign, line) = match line {
            Line::Same(line) => (' ', line),
            Line::Removed(line) => ('-', line),
            Line::Added(line) => ('+', line),
        };
        text += &format!("{sign} {line}\n");
    }
    text
}

fn compare<'a>(from: &'a str, to: &'a str) -> Vec<Line<'a>> {
    let from: Vec<&str> = from.lines().collect();
    let to: Vec<&str> = to.lines().collect();
    let prefix_len = from.iter().zip(&to).take_while(|(a, b)| a == b).count();
    let rest = from[prefix_len..]
        .iter()
        .rev()
        .zip(to[prefix_len..].iter().rev());
    let suffix_len = rest.take_while(|(a, b)| a == b).count();

    let middle = compare_middle(
        &from[prefix_len..from.len() - suffix_len],
        &to[prefix_len..to.len() - suffix_len],
    );
    let mut lines: Vec<Line<'a>> = from[..prefix_len].iter().copied().map(Line::Same).collect();
    lines.extend(middle);
    lines.extend(
        from[from.len() - suffix_len..]
            .iter()
            .copied()
            .map(Line::Same),
    );
    lines
}

/// Compares lines by their longest common subsequence.
fn compare_middle<'a>(from: &[&'a str], to: &[&'a str]) -> Vec<Line<'a>> {
    if from.len().saturating_mul(to.len()) > MAX_PAIRS {
        let removed = from.iter().copied().map(Line::Removed);
        return removed.chain(to.iter().copied().map(Line::Added)).collect();
    }

    let common = common_lengths(from, to);
    let mut lines = Vec::with_capacity(from.len() + to.len());
    let (mut i, mut j) = (0, 0);
    while i < from.len() || j < to.len() {
        match (from.get(i), to.get(j)) {
            (Some(a), Some(b)) if a == b => {
                lines.push(Line::Same(a));
                i += 1;
                j += 1;
            }
            (Some(a), b) if b.is_none() || common[i + 1][j] >= common[i][j + 1] => {
                lines.push(Line::Removed(a));
                i += 1;
            }
            (_, Some(b)) => {
                lines.push(Line::Added(b));
                j += 1;
            }
            (_, None) => break,
        }
    }
    lines
}

/// Returns the length of the longest common subsequence of each pair of suffixes.
fn common_lengths(from: &[&str], to: &[&str]) -> Vec<Vec<u32>> {
    let mut common = vec![vec![0; to.len() + 1]; from.len() + 1];
    for i in (0..from.len()).rev() {
        for j in (0..to.len()).rev() {
            common[i][j] = match from[i] == to[j] {
                true => common[i + 1][j + 1] + 1,
                false => common[i + 1][j].max(common[i][j + 1]),
            };
        }
    }
    common
}
