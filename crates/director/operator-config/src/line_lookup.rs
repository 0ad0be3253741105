//! Finds the line of a field in a file. The result is exact for JSON, and for Jsonnet with literal field
//! names; if a name is computed, it is the line of the innermost enclosing name that is found.

use std::iter::Peekable;
use std::str::Chars;

/// A word, a string's content or a punctuation mark.
struct Token {
    /// From 1.
    line: usize,
    text: String,
}

/// Splits JSON or Jsonnet into tokens, without comments.
struct Lexer<'a> {
    characters: Peekable<Chars<'a>>,
    line: usize,
    tokens: Vec<Token>,
}

impl Lexer<'_> {
    fn tokens(source: &str) -> Vec<Token> {
        let mut lexer = Lexer { characters: source.chars().peekable(), line: 1, tokens: Vec::new() };
        while let Some(character) = lexer.characters.next() {
            lexer.read_from(character);
        }
        lexer.tokens
    }

    fn read_from(&mut self, character: char) {
        match character {
            '\n' => self.line += 1,
            '#' => self.skip_line_comment(),
            '/' if self.characters.peek() == Some(&'/') => self.skip_line_comment(),
            '/' if self.characters.peek() == Some(&'*') => self.skip_block_comment(),
            '"' | '\'' => self.read_string(character),
            first if first.is_alphanumeric() || first == '_' => self.read_word(first),
            space if space.is_whitespace() => {}
            mark => self.push(self.line, mark.to_string()),
        }
    }

    fn push(&mut self, line: usize, text: String) {
        self.tokens.push(Token { line, text });
    }

    fn skip_line_comment(&mut self) {
        while self.characters.next_if(|next| *next != '\n').is_some() {}
    }

    fn skip_block_comment(&mut self) {
        let mut previous = ' ';
        for character in self.characters.by_ref() {
            self.line += usize::from(character == '\n');
            if (previous, character) == ('*', '/') {
                break;
            }
            previous = character;
        }
    }

    fn read_string(&mut self, quote: char) {
        let first_line = self.line;
        let mut text = String::new();
        while let Some(character) = self.characters.next_if(|next| *next != quote) {
            self.line += usize::from(character == '\n');
            if character == '\\' {
                text.extend(self.characters.next());
            } else {
                text.push(character);
            }
        }
        self.characters.next();
        self.push(first_line, text);
    }

    fn read_word(&mut self, first: char) {
        let mut text = first.to_string();
        while let Some(character) = self.characters.next_if(|next| next.is_alphanumeric() || *next == '_') {
            text.push(character);
        }
        self.push(self.line, text);
    }
}

/// The line, from 1, of the field with this path of names, outermost first; 0 if none of the names is found.
pub(crate) fn line_of(source: &str, path: &[&str]) -> usize {
    let tokens = Lexer::tokens(source);
    let (mut position, mut line) = (0, 0);
    for name in path {
        let found = (position..tokens.len()).find(|index| is_name(&tokens[*index..], name));
        let Some(index) = found else { return line };
        (position, line) = (index + 1, tokens[index].line);
    }
    line
}

/// Whether the first token is this name as a field, before `:` or Jsonnet's `+:`, or as an element of a list.
fn is_name(tokens: &[Token], name: &str) -> bool {
    let follows = tokens.get(1).map(|token| token.text.as_str());
    tokens[0].text == name && matches!(follows, Some(":" | "+" | "," | "]"))
}
