//! The package's rooms import each other one way only: what is changed in one can't come back to it
//! by another.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Which rooms each names by `crate::`. A room is a file, or a folder with its file.
fn imports() -> BTreeMap<String, BTreeSet<String>> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut rooms: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    let mut folders = vec![source.clone()];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let own = path
                .strip_prefix(&source)
                .expect("below it")
                .to_string_lossy()
                .into_owned();
            let room = own.split(['/', '.']).next().expect("a name").to_string();
            let text = std::fs::read_to_string(&path).expect("text");
            let named = text.split("crate::").skip(1);
            let named = named.map(|rest| {
                rest.split(|c: char| !c.is_alphanumeric() && c != '_')
                    .next()
            });
            rooms
                .entry(room)
                .or_default()
                .extend(named.flatten().map(String::from));
        }
    }
    rooms
}

#[test]
fn no_room_is_reached_again_from_what_it_uses() {
    let rooms = imports();
    assert!(
        rooms.len() > 10 && rooms["desk"].contains("shots"),
        "the source is read: {rooms:?}"
    );
    for room in rooms.keys() {
        let (mut reached, mut next) = (BTreeSet::new(), vec![room]);
        while let Some(one) = next.pop() {
            let further = rooms
                .get(one)
                .into_iter()
                .flatten()
                .filter(|other| *other != one);
            next.extend(further.filter(|other| reached.insert((*other).clone())));
        }
        assert!(
            !reached.contains(room),
            "{room} is reached again through {reached:?}"
        );
    }
}
