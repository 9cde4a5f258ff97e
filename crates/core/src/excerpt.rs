//! Excerpts of texts of other writers, for logs and errors.

/// Returns a text, or the beginning of one that is longer than `max_bytes`, with its length in bytes.
pub fn excerpt(text: &str, max_bytes: usize) -> String {
    if text.len() <= max_bytes {
        return text.to_string();
    }
    let ends = (0..=max_bytes).rev();
    let end = ends.into_iter().find(|end| text.is_char_boundary(*end)).unwrap_or_default();
    format!("{}... ({} bytes)", &text[..end], text.len())
}
