//! Reading and authorization of operators' requests.

use serde_json::json;

use snipemast_config::{Config, KeyHash, Patch, Role};
use snipemast_core::prelude::*;
use snipemast_operators::{authorize, Author, Denied, Route, RouteError};

/// Guards against a request of an operator that is read as another one, or accepted with a wrong method or
/// parameter.
#[test]
fn routes_read() {
    let version = Version::new;
    let read = |method, path, query| Route::read(method, path, query);
    assert_eq!(read("POST", "/patches", ""), Ok(Route::Submit));
    assert_eq!(read("GET", "/suspects", ""), Ok(Route::Suspects));
    let lift = read(
        "POST",
        "/suspects/lift",
        "request=00000000000000000000000000000007",
    );
    assert!(matches!(lift, Ok(Route::Lift { .. })));
    assert_eq!(read("POST", "/patches", "dry-run=true"), Ok(Route::DryRun));
    assert_eq!(
        read("GET", "/config/diff", "from=2&to=5"),
        Ok(Route::Diff {
            from: version(2),
            to: version(5)
        })
    );
    assert_eq!(read("GET", "/patches", ""), Err(RouteError::Method));
    assert_eq!(read("GET", "/", ""), Err(RouteError::NotFound));
    let parameter = |name: &str| Err(RouteError::Parameter(name.into()));
    assert_eq!(read("GET", "/config", "at=x"), parameter("at"));
    assert_eq!(read("GET", "/config/diff", "from=1"), parameter("to"));
}

/// Guards against a key that is accepted for more than its operator's role allows, or for no operator.
#[test]
fn roles_hold() {
    let set = json!({ "operators": {
        "ana": { "key": KeyHash::from_key("ana"), "role": "write" },
        "bea": { "key": KeyHash::from_key("bea"), "role": "read" },
    } });
    let patch = Patch {
        id: "p".parse().expect("a valid name"),
        base: Version::new(0),
        reason: String::new(),
        set,
    };
    let config = patch
        .apply(&Config::default())
        .expect("the patch has no faults");
    let ask = |key: &str, role| authorize(&config, None, &KeyHash::from_key(key), role);
    let ana = "ana".parse().expect("a valid name");
    assert_eq!(ask("ana", Role::Write), Ok(Author::Operator(ana)));
    assert!(ask("bea", Role::Read).is_ok());
    assert_eq!(ask("bea", Role::Write), Err(Denied::ReadOnly));
    assert_eq!(ask("eve", Role::Read), Err(Denied::Unknown));
}

fn authorize_write(config: &Config, first: Option<&KeyHash>, key: &str) -> Result<Author, Denied> {
    authorize(config, first, &KeyHash::from_key(key), Role::Write)
}

/// Guards against a stranger who finds the address of a new control host, which has no operators yet, and makes
/// themselves its operator.
#[test]
fn first_key_only() {
    let empty = Config::default();
    let first = KeyHash::from_key("first");
    assert_eq!(authorize_write(&empty, None, "eve"), Err(Denied::Unknown));
    assert_eq!(
        authorize_write(&empty, Some(&first), "eve"),
        Err(Denied::Unknown)
    );
    assert_eq!(
        authorize_write(&empty, Some(&first), "first"),
        Ok(Author::First)
    );
    let mut named = empty;
    let operator = snipemast_config::Operator {
        key: KeyHash::from_key("ana"),
        role: Role::Write,
    };
    named
        .operators
        .insert("ana".parse().expect("a valid name"), operator);
    assert_eq!(
        authorize_write(&named, Some(&first), "first"),
        Err(Denied::Unknown)
    );
}
