//! The generated parts of the page, each between its markers. The prose around them is not touched.

/// A generated part of the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Its name in the markers.
    pub name: &'static str,
    /// Its text, with a line break at its end.
    pub text: String,
}

fn begin(name: &str) -> String {
    format!("<!-- begin generated: {name} -->\n")
}

fn end(name: &str) -> String {
    format!("<!-- end generated: {name} -->")
}

/// Where the text of a section stands in the page, without its markers.
///
/// # Errors
/// A marker that is missing, doubled or in the wrong order.
fn place(page: &str, name: &str) -> Result<std::ops::Range<usize>, String> {
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

/// Refuses markers that belong to no section, so that no generated text stays behind unseen.
fn known(page: &str, sections: &[Section]) -> Result<(), String> {
    let names = page.split("<!-- begin generated: ").skip(1).filter_map(|rest| rest.split(" -->").next());
    for name in names {
        if !sections.iter().any(|section| section.name == name) {
            return Err(format!("no table is named '{name}'"));
        }
    }
    Ok(())
}

/// The page with the text of all sections in place.
///
/// # Errors
/// A marker that is missing, doubled, unknown or in the wrong order.
pub fn with_sections(page: &str, sections: &[Section]) -> Result<String, String> {
    known(page, sections)?;
    let mut page = page.to_owned();
    for section in sections {
        let range = place(&page, section.name)?;
        page.replace_range(range, &section.text);
    }
    Ok(page)
}

/// The name of the first section whose text in the page is another one; `None` where all agree.
///
/// # Errors
/// As [`with_sections`].
pub fn first_difference(page: &str, sections: &[Section]) -> Result<Option<&'static str>, String> {
    known(page, sections)?;
    for section in sections {
        if page[place(page, section.name)?] != section.text {
            return Ok(Some(section.name));
        }
    }
    Ok(None)
}
