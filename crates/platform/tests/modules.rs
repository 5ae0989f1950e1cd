//! Tests that the package's modules don't import each other in cycles, so that a change to a module
//! can't affect it again through another.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns the modules that each module names by `crate::`. A module is a file, or a folder with
/// its file.
fn imports() -> BTreeMap<String, BTreeSet<String>> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut modules: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut folders = vec![source.clone()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a directory") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let relative = path.strip_prefix(&source).expect("a path below the source");
            let relative = relative.to_string_lossy().into_owned();
            let module = relative
                .split(['/', '.'])
                .next()
                .expect("a name")
                .to_string();
            let text = std::fs::read_to_string(&path).expect("valid text");
            let imported = text.split("crate::").skip(1).filter_map(|rest| {
                rest.split(|c: char| !c.is_alphanumeric() && c != '_')
                    .next()
                    .map(String::from)
            });
            modules.entry(module).or_default().extend(imported);
        }
    }
    modules
}

#[test]
fn no_module_imports_itself_through_others() {
    let modules = imports();
    assert!(
        modules.len() > 10 && modules["handle"].contains("core"),
        "the source is read: {modules:?}"
    );
    for module in modules.keys() {
        let (mut reached, mut next) = (BTreeSet::new(), vec![module]);
        while let Some(one) = next.pop() {
            let further = modules.get(one).into_iter().flatten();
            let further = further.filter(|other| *other != one);
            next.extend(further.filter(|other| reached.insert((*other).clone())));
        }
        assert!(
            !reached.contains(module),
            "{module} is reached again through {reached:?}"
        );
    }
}

/// The core decides without I/O, so it imports none of the tasks that read, write or wait.
#[test]
fn the_core_imports_no_task() {
    let modules = imports();
    let tasks = [
        "discovery",
        "effects",
        "handle",
        "listener",
        "node_connection_task",
    ];
    for task in tasks {
        assert!(modules.contains_key(task), "{task} is a module");
        assert!(!modules["core"].contains(task), "the core imports {task}");
    }
}
