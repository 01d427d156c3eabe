//! The modules of the program don't import each other in cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The source of each module by its path, such as `net::requests::manager`.
type Sources = BTreeMap<String, String>;
/// The modules that each module imports.
type Imports = BTreeMap<String, BTreeSet<String>>;

/// Collects the sources of all modules below a folder, each without its tests.
fn collect_sources(folder: &Path, module: &str, sources: &mut Sources) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let file = entry.expect("an entry").path();
        let name = file
            .file_stem()
            .and_then(|name| name.to_str())
            .expect("a name")
            .to_owned();
        let submodule = join_path(module, &name);
        if file.is_dir() {
            collect_sources(&file, &submodule, sources);
            continue;
        }
        let text = fs::read_to_string(&file).expect("text");
        let without_tests = text.split("#[cfg(test)]").next().unwrap_or_default();
        let path = if name == "mod" {
            module.to_owned()
        } else {
            submodule
        };
        sources.insert(path, without_tests.to_owned());
    }
}

fn join_path(module: &str, name: &str) -> String {
    if module.is_empty() {
        name.to_owned()
    } else {
        format!("{module}::{name}")
    }
}

/// Returns the path that a line imports, from the root of the crate; `None` for other lines and for
/// other crates.
fn imported_path(line: &str, parent: &str) -> Option<String> {
    let import = line.trim_start_matches("pub ").strip_prefix("use ")?;
    let path = import.split(['{', ';', ' ']).next()?.trim_end_matches(':');
    if let Some(path) = path.strip_prefix("crate::") {
        return Some(path.to_owned());
    }
    path.strip_prefix("super::")
        .map(|path| join_path(parent, path))
}

/// Returns the module of an imported item: the longest prefix of its path that is a module.
fn module_of(path: &str, sources: &Sources) -> Option<String> {
    let segments: Vec<&str> = path.split("::").collect();
    (1..=segments.len())
        .rev()
        .map(|length| segments[..length].join("::"))
        .find(|path| sources.contains_key(path))
}

/// Finds the imports of each module in the lines that begin with `use`.
fn find_imports(sources: &Sources) -> Imports {
    let imports_of = |(module, text): (&String, &String)| {
        let parent = module.rsplit_once("::").map_or("", |(parent, _)| parent);
        let imports = text
            .lines()
            .filter_map(|line| imported_path(line, parent))
            .filter_map(|path| module_of(&path, sources))
            .filter(|imported| imported != module)
            .collect();
        (module.clone(), imports)
    };
    sources.iter().map(imports_of).collect()
}

/// Removes modules without remaining imports until no more can be removed. The rest are in a cycle
/// or import, possibly indirectly, a module in a cycle.
fn modules_with_cyclic_imports(mut imports: Imports) -> Vec<String> {
    while let Some(lowest) = imports
        .iter()
        .find(|(_, imported)| imported.is_empty())
        .map(|(module, _)| module.clone())
    {
        imports.remove(&lowest);
        for imported in imports.values_mut() {
            imported.remove(&lowest);
        }
    }
    imports.into_keys().collect()
}

#[test]
fn modules_do_not_import_each_other_in_cycles() {
    let mut sources = Sources::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    collect_sources(&root, "", &mut sources);
    sources.retain(|module, _| !["lib", "main"].contains(&module.as_str()));
    let imports = find_imports(&sources);
    assert!(
        imports["net::node"].contains("net::requests::manager"),
        "imports are found: {imports:?}"
    );
    assert_eq!(modules_with_cyclic_imports(imports), Vec::<String>::new());
}

/// Guards against a check that never finds a cycle.
#[test]
fn a_cycle_is_found() {
    let sources = [
        ("a", "use crate::b::{X};"),
        ("b", "pub use super::c::Y;"),
        ("c", "use crate::a;"),
        ("d", "use crate::a;"),
    ];
    let sources = sources
        .iter()
        .map(|(module, text)| ((*module).to_owned(), (*text).to_owned()))
        .collect();
    assert_eq!(
        modules_with_cyclic_imports(find_imports(&sources)),
        ["a", "b", "c", "d"]
    );
}
