//! The modules of the program import each other in one direction: what stands below knows nothing of what is above.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

type Imports = BTreeMap<String, BTreeSet<String>>;

/// Each module's text by its path, such as `net::requests::manager`, without its tests.
fn modules(folder: &Path, at: &str, into: &mut BTreeMap<String, String>) {
    for entry in fs::read_dir(folder)
        .expect("a folder")
        .map(|entry| entry.expect("an entry").path())
    {
        let name = entry
            .file_stem()
            .and_then(|name| name.to_str())
            .expect("a name")
            .to_owned();
        let path = if at.is_empty() {
            name.clone()
        } else {
            format!("{at}::{name}")
        };
        if entry.is_dir() {
            modules(&entry, &path, into);
        } else {
            let text = fs::read_to_string(&entry).expect("text");
            let text = text
                .split("#[cfg(test)]")
                .next()
                .unwrap_or_default()
                .to_owned();
            into.insert(if name == "mod" { at.to_owned() } else { path }, text);
        }
    }
}

/// Who imports whom, by the lines that begin with `use`.
fn imports(modules: &BTreeMap<String, String>) -> Imports {
    let named = |path: &str| {
        let parts: Vec<&str> = path.split("::").collect();
        (1..=parts.len())
            .rev()
            .map(|n| parts[..n].join("::"))
            .find(|path| modules.contains_key(path))
    };
    let of = |(module, text): (&String, &String)| {
        let above = module.rsplit_once("::").map_or("", |(above, _)| above);
        let lines = text.lines().filter_map(|line| {
            let rest = line.trim_start_matches("pub ").strip_prefix("use ")?;
            let path = rest.split(['{', ';', ' ']).next()?.trim_end_matches(':');
            let path = path
                .strip_prefix("crate::")
                .map(str::to_owned)
                .or_else(|| {
                    let below = path.strip_prefix("super::")?;
                    Some(if above.is_empty() {
                        below.to_owned()
                    } else {
                        format!("{above}::{below}")
                    })
                })?;
            named(&path).filter(|other| other != module)
        });
        (module.clone(), lines.collect())
    };
    modules.iter().map(of).collect()
}

/// Takes out whoever imports nobody that is left, until nobody goes; who stays is in a circle or above one.
fn circle(mut imports: Imports) -> Vec<String> {
    while let Some(free) = imports
        .iter()
        .find(|(_, others)| others.is_empty())
        .map(|(m, _)| m.clone())
    {
        imports.remove(&free);
        imports.values_mut().for_each(|others| {
            others.remove(&free);
        });
    }
    imports.into_keys().collect()
}

#[test]
fn no_two_modules_import_each_other() {
    let mut all = BTreeMap::new();
    modules(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        "",
        &mut all,
    );
    all.retain(|module, _| !["lib", "main"].contains(&module.as_str()));
    let found = imports(&all);
    assert!(
        found["net::node"].contains("net::requests::manager"),
        "the lines are read: {found:?}"
    );
    assert_eq!(circle(found), Vec::<String>::new());
}

/// Guards against a look that finds nothing.
#[test]
fn a_circle_is_found() {
    let texts = [
        ("a", "use crate::b::{X};"),
        ("b", "pub use super::c::Y;"),
        ("c", "use crate::a;"),
        ("d", "use crate::a;"),
    ];
    let all = texts
        .iter()
        .map(|(name, text)| ((*name).to_owned(), (*text).to_owned()))
        .collect();
    assert_eq!(circle(imports(&all)), ["a", "b", "c", "d"]);
}
