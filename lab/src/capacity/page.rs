//! Replaces and compares the generated parts of the page, each between its markers. The text around them is
//! not changed.

/// A generated part of the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The section's name in the markers.
    pub name: &'static str,
    /// The section's text, which ends with a line break.
    pub text: String,
}

/// Returns the marker before a section.
fn begin(name: &str) -> String {
    format!("<!-- begin generated: {name} -->\n")
}

/// Returns the marker after a section.
fn end(name: &str) -> String {
    format!("<!-- end generated: {name} -->")
}

/// Returns the range of a section's text in the page, without its markers.
///
/// # Errors
/// Returns an error if a marker is missing, doubled or in the wrong order.
fn section_range(page: &str, name: &str) -> Result<std::ops::Range<usize>, String> {
    let (begin, end) = (begin(name), end(name));
    for marker in [begin.trim_end(), end.as_str()] {
        let found = page.matches(marker).count();
        if found != 1 {
            return Err(format!("the marker '{marker}' stands {found} times, once is wanted"));
        }
    }
    let start = page.find(&begin).map(|at| at + begin.len());
    let start = start.ok_or_else(|| format!("the marker '{}' has no line of its own", begin.trim_end()))?;
    match page.find(&end) {
        Some(stop) if stop >= start => Ok(start..stop),
        _ => Err(format!("the marker '{end}' stands before its beginning")),
    }
}

/// Refuses markers that belong to no section, so that no outdated generated text remains unnoticed.
fn check_markers(page: &str, sections: &[Section]) -> Result<(), String> {
    let names = page.split("<!-- begin generated: ").skip(1).filter_map(|rest| rest.split(" -->").next());
    for name in names {
        if !sections.iter().any(|section| section.name == name) {
            return Err(format!("no table is named '{name}'"));
        }
    }
    Ok(())
}

/// Returns the page with the text of all sections replaced.
///
/// # Errors
/// Returns an error if a marker is missing, doubled, unknown or in the wrong order.
pub fn with_sections(page: &str, sections: &[Section]) -> Result<String, String> {
    check_markers(page, sections)?;
    let mut page = page.to_owned();
    for section in sections {
        let range = section_range(&page, section.name)?;
        page.replace_range(range, &section.text);
    }
    Ok(page)
}

/// Returns the name of the first section whose text in the page differs, or `None` if all agree.
///
/// # Errors
/// Returns the same errors as [`with_sections`].
pub fn first_difference(page: &str, sections: &[Section]) -> Result<Option<&'static str>, String> {
    check_markers(page, sections)?;
    for section in sections {
        if page[section_range(page, section.name)?] != section.text {
            return Ok(Some(section.name));
        }
    }
    Ok(None)
}
