//! JSON as it stands, with names that come twice told instead of one of them silently lost.

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Tree {
    Null,
    Flag(bool),
    Number(f64),
    Text(String),
    List(Vec<Tree>),
    Object(Vec<(String, Tree)>),
}

impl Tree {
    pub fn get(&self, name: &str) -> Option<&Tree> {
        match self {
            Tree::Object(fields) => fields.iter().find(|(of, _)| of == name).map(|(_, value)| value),
            _ => None,
        }
    }
}

struct Visit;

impl<'de> Visitor<'de> for Visit {
    type Value = Tree;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("JSON")
    }
    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }
    fn visit_bool<E>(self, flag: bool) -> Result<Tree, E> {
        Ok(Tree::Flag(flag))
    }
    fn visit_i64<E>(self, number: i64) -> Result<Tree, E> {
        Ok(Tree::Number(number as f64))
    }
    fn visit_u64<E>(self, number: u64) -> Result<Tree, E> {
        Ok(Tree::Number(number as f64))
    }
    fn visit_f64<E>(self, number: f64) -> Result<Tree, E> {
        Ok(Tree::Number(number))
    }
    fn visit_str<E>(self, text: &str) -> Result<Tree, E> {
        Ok(Tree::Text(text.to_string()))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            list.push(item);
        }
        Ok(Tree::List(list))
    }
    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Tree, A::Error> {
        let mut object: Vec<(String, Tree)> = Vec::new();
        let mut seen = std::collections::BTreeSet::new();
        while let Some((name, value)) = fields.next_entry::<String, Tree>()? {
            if !seen.insert(name.clone()) {
                return Err(A::Error::custom(format!("the name \"{name}\" once, it stands twice")));
            }
            object.push((name, value));
        }
        Ok(Tree::Object(object))
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(Visit)
    }
}
