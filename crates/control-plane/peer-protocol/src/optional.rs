//! Optional fields: a message omits those with their default value.

/// Whether a field has its default value, which the receiver assumes for an omitted field.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
