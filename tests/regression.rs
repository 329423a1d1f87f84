//! Regression tests, one for each fault. Those that use the simulated cell
//! are in `failures`.

use std::cell::RefCell;

use puffinknot::platform::{http_client, Platform as Client};
use puffinknot_core::store::{Key, Value, Write};
use puffinknot_standin::platform::Platform;

/// The first message of a watch carries the current revision of the service.
/// A client that considers this revision seen misses the changes made between
/// its read and the watch, and a VM never learns of a member.
#[test]
fn changes_between_a_read_and_its_watch_are_seen() {
    let platform = Platform::new();
    let server = platform.serve("127.0.0.1:0").expect("a platform");
    let base = format!("http://{}", server.addr());
    actix_rt::System::new().block_on(async {
        let http = http_client([127, 0, 0, 1].into());
        let client = Client::new(http, &base, "local");
        let read = client.read(0).await.expect("an answer");
        for dc in ["goya", "concordia"] {
            let write = Write {
                key: Key::Progress(dc.into()),
                value: Value::Progress(Default::default()),
                expected_revision: 0,
                expected_config_revision: None,
            };
            client.write(&write).await;
        }
        let seen = RefCell::new(Vec::new());
        let watch = client.watch(read.revision + 1, |change| {
            if change.revision > 0 {
                seen.borrow_mut().push(change.revision);
            }
        });
        let both = async {
            while seen.borrow().len() < 2 {
                actix_rt::task::yield_now().await;
            }
        };
        tokio::select! {
            ended = watch => panic!("the watch has ended: {ended:?}"),
            () = both => {}
        }
        let expected = [read.revision + 1, read.revision + 2];
        assert_eq!(*seen.borrow(), expected);
    });
}
