//! Suggestions for misspelled names.

/// Minimum length in bytes for a name to match a candidate that starts with it.
const MIN_PREFIX: usize = 4;

/// Returns the candidate with the smallest edit distance to a name, if one is similar enough to
/// have been intended.
pub fn closest_match<'a, I>(name: &str, candidates: I) -> Option<String>
where
    I: IntoIterator<Item = &'a str>,
{
    let limit = (name.chars().count() / 3).max(1);
    let distance = |candidate: &str| match candidate.starts_with(name) && name.len() >= MIN_PREFIX {
        true => 0,
        false => edit_distance(name, candidate),
    };
    candidates
        .into_iter()
        .map(|candidate| (distance(candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate.to_owned())
}

/// Returns the Levenshtein distance between two strings, in characters.
fn edit_distance(from: &str, to: &str) -> usize {
    let to: Vec<char> = to.chars().collect();
    let mut row: Vec<usize> = (0..=to.len()).collect();

    for (i, from_char) in from.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to_char) in to.iter().enumerate() {
            let replaced = diagonal + usize::from(from_char != *to_char);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[to.len()]
}
