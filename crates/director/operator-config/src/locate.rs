//! Which line of a file a field stands on. Good for JSON and for Jsonnet that names its fields as they are; where a
//! name is computed it is the line of the innermost name that is found.

/// Words, texts and punctuation with their lines; comments are left out.
fn tokens(source: &str) -> Vec<(usize, String)> {
    let mut found = Vec::new();
    let (mut line, mut chars) = (1, source.chars().peekable());
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            '#' => while chars.next_if(|c| *c != '\n').is_some() {},
            '/' if chars.peek() == Some(&'/') => while chars.next_if(|c| *c != '\n').is_some() {},
            '/' if chars.peek() == Some(&'*') => {
                let mut last = ' ';
                for c in chars.by_ref() {
                    line += (c == '\n') as usize;
                    if (last, c) == ('*', '/') {
                        break;
                    }
                    last = c;
                }
            }
            '"' | '\'' => {
                let (mut text, start) = (String::new(), line);
                while let Some(next) = chars.next_if(|next| *next != c) {
                    line += (next == '\n') as usize;
                    if next == '\\' {
                        text.extend(chars.next());
                    } else {
                        text.push(next);
                    }
                }
                chars.next();
                found.push((start, text));
            }
            c if c.is_alphanumeric() || c == '_' => {
                let mut word = c.to_string();
                while let Some(c) = chars.next_if(|c| c.is_alphanumeric() || *c == '_') {
                    word.push(c);
                }
                found.push((line, word));
            }
            c if c.is_whitespace() => {}
            c => found.push((line, c.to_string())),
        }
    }
    found
}

/// The line, from 1, of the field with these names from the outermost; 0 where none of them is found.
pub fn line_of(source: &str, path: &[&str]) -> usize {
    let tokens = tokens(source);
    let (mut at, mut line) = (0, 0);
    for name in path {
        // A name stands before a colon, perhaps with `+` or further colons in between; or it is in a list.
        let named = (at..tokens.len()).find(|k| {
            let colon = |k: usize| matches!(tokens.get(k), Some((_, next)) if next == ":" || next == "+");
            tokens[*k].1 == *name
                && (colon(k + 1) || matches!(tokens.get(k + 1), Some((_, n)) if n == "," || n == "]"))
        });
        let Some(found) = named else { return line };
        (at, line) = (found + 1, tokens[found].0);
    }
    line
}
