//! Checks that the modules of the package have no cyclic imports: no module is reached again from
//! what it imports.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns for each module the modules that it names by `crate::`. A module is a file, or a
/// directory together with its file.
fn imports() -> BTreeMap<String, BTreeSet<String>> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut modules: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut directories = vec![source.clone()];
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(directory).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                directories.push(path);
                continue;
            }
            let relative = path
                .strip_prefix(&source)
                .expect("below it")
                .to_string_lossy()
                .into_owned();
            let module = relative
                .split(['/', '.'])
                .next()
                .expect("a name")
                .to_string();
            let text = std::fs::read_to_string(&path).expect("text");
            let imported = text.split("crate::").skip(1).map(|rest| {
                rest.split(|c: char| !c.is_alphanumeric() && c != '_')
                    .next()
            });
            modules
                .entry(module)
                .or_default()
                .extend(imported.flatten().map(String::from));
        }
    }
    modules
}

#[test]
fn no_module_is_reached_again_from_what_it_imports() {
    let modules = imports();
    assert!(
        modules.len() > 10 && modules["core"].contains("attempts"),
        "the source is read: {modules:?}"
    );
    for module in modules.keys() {
        let (mut reached, mut pending) = (BTreeSet::new(), vec![module]);
        while let Some(current) = pending.pop() {
            let imported = modules
                .get(current)
                .into_iter()
                .flatten()
                .filter(|other| *other != current);
            pending.extend(imported.filter(|other| reached.insert((*other).clone())));
        }
        assert!(
            !reached.contains(module),
            "{module} is reached again through {reached:?}"
        );
    }
}
