//! Checks that the deployments in `examples` are valid.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use snipemast_config::{Config, Patch};
use snipemast_core::prelude::*;
use snipemast_settings::check::check;
use snipemast_settings::{AgentSettings, EntrySettings, Settings};

/// A deployment, read from its files.
struct Deployment {
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
    first: Config,
}

fn read_deployment(name: &str) -> Deployment {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let patch = fs::read_to_string(folder.join("first-patch.json")).expect("a first patch");
    let patch: Patch = serde_json::from_str(&patch).expect("a patch");
    Deployment {
        entries: find_files(&folder, "entry-")
            .iter()
            .map(|f| read_settings(f))
            .collect(),
        agents: find_files(&folder, "agent-")
            .iter()
            .map(|f| read_settings(f))
            .collect(),
        first: patch
            .apply(&Config::default())
            .expect("a patch without faults"),
    }
}

/// Returns the settings files in a folder whose names begin with `start`.
fn find_files(folder: &Path, start: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of examples");
    let paths = entries.map(|entry| entry.expect("a readable folder").path());
    let named = |path: &PathBuf| {
        let name = path
            .file_name()
            .and_then(|n| n.to_str())
            .unwrap_or_default();
        name.starts_with(start) && name.ends_with(".toml")
    };
    paths.filter(named).collect()
}

fn read_settings<T: Settings>(path: &Path) -> T {
    let text = fs::read_to_string(path).expect("a readable example");
    check(&text).unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()))
}

/// Checks that names and addresses agree between the files of a deployment.
fn check_deployment(deployment: &Deployment) {
    let Deployment {
        entries,
        agents,
        first,
    } = deployment;
    let own: BTreeSet<_> = entries.iter().map(|e| e.own).collect();
    assert_eq!(own.len(), entries.len());
    let seeds = entries.iter().flat_map(|e| &e.seeds);
    assert!(seeds
        .chain(agents.iter().flat_map(|a| &a.seeds))
        .all(|seed| own.contains(seed)));
    let control: Vec<_> = entries.iter().filter_map(|e| e.control.as_ref()).collect();
    assert!(control
        .windows(2)
        .all(|pair| pair[0].voters == pair[1].voters));
    assert_eq!(control.len(), control[0].voters.len());
    let hosts: BTreeSet<_> = entries.iter().map(|e| &e.host).collect();
    assert!(first
        .keepers
        .iter()
        .flatten()
        .all(|host| hosts.contains(host)));
}

fn zones(deployment: &Deployment) -> BTreeSet<&str> {
    deployment.entries.iter().map(|e| e.zone.as_str()).collect()
}

/// Guards against an example with invalid settings, or with files that do not agree.
#[test]
fn cordillera_valid() {
    let deployment = read_deployment("cordillera");
    check_deployment(&deployment);
    assert_eq!(
        zones(&deployment),
        ["cumbaya", "machachi", "pichincha"].into()
    );
    assert_eq!((deployment.entries.len(), deployment.agents.len()), (9, 19));
    assert_eq!(deployment.first.workspaces.len(), 10);
}

/// Guards against an example with invalid settings, or with files that do not agree.
#[test]
fn vandermeulen_valid() {
    let deployment = read_deployment("vandermeulen");
    check_deployment(&deployment);
    assert_eq!(zones(&deployment), ["hall-a", "hall-b", "hall-c"].into());
    assert_eq!((deployment.entries.len(), deployment.agents.len()), (7, 19));
    let region: RegionId = "be-flanders".parse().expect("a valid name");
    assert!(deployment.agents.iter().all(|a| a.region == region));
}

/// Guards against an example with invalid settings, or with files that do not agree.
#[test]
fn loopback_valid() {
    let deployment = read_deployment("loopback");
    check_deployment(&deployment);
    assert_eq!((deployment.entries.len(), deployment.agents.len()), (2, 2));
}
