//! Tests what a process keeps track of during a handover besides requests: forwarded callbacks, and
//! the division of file descriptors.

use postproxy::net::handover::callbacks::{CallbackResolution, ForwardedCallbacks};
use postproxy::net::handover::descriptors::{DescriptorShare, DescriptorShares, DescriptorUsage};
use postproxy::net::messages::{CallbackState, WorkerCallback};

const CLIENT: u64 = 7;

fn callback() -> WorkerCallback {
    WorkerCallback {
        id: "j".into(),
        from: "w".into(),
        state: CallbackState::Started,
        load: Vec::new(),
    }
}

#[test]
fn a_callback_is_known_as_soon_as_one_sibling_knows_it() {
    let mut callbacks = ForwardedCallbacks::default();
    callbacks.await_results(CLIENT, 3, callback());
    assert!(matches!(
        callbacks.record_result(CLIENT, false),
        CallbackResolution::Pending
    ));
    assert!(callbacks.has_pending());
    assert!(matches!(
        callbacks.record_result(CLIENT, true),
        CallbackResolution::Known
    ));
    assert!(!callbacks.has_pending());
    assert!(
        matches!(
            callbacks.record_result(CLIENT, true),
            CallbackResolution::Pending
        ),
        "it is resolved only once"
    );
}

#[test]
fn a_callback_is_unknown_only_after_the_last_result() {
    let mut callbacks = ForwardedCallbacks::default();
    callbacks.await_results(CLIENT, 2, callback());
    assert!(matches!(
        callbacks.record_result(CLIENT, false),
        CallbackResolution::Pending
    ));
    let CallbackResolution::Unknown(returned) = callbacks.record_result(CLIENT, false) else {
        panic!("no sibling knows the request");
    };
    assert_eq!(returned, callback());
}

#[test]
fn the_origins_of_a_closed_link_are_removed() {
    let mut callbacks = ForwardedCallbacks::default();
    let first = callbacks.add_origin(1, 10);
    let second = callbacks.add_origin(2, 10);
    assert!(callbacks.is_forwarded_here(first) && !callbacks.is_forwarded_here(CLIENT));
    assert_eq!(callbacks.origin_link(second), Some(2));
    callbacks.forget_link(1);
    assert!(callbacks.take_origin(first).is_none());
    let origin = callbacks.take_origin(second).expect("its link is open");
    assert_eq!((origin.link, origin.number), (2, 10));
    assert!(callbacks.take_origin(second).is_none());
}

const USAGE: DescriptorUsage = DescriptorUsage {
    total: 100,
    reserved: 10,
    in_use: 20,
    has_successor: false,
    shutting_down: false,
};

fn share(own: usize, announcement: Option<u32>) -> DescriptorShare {
    DescriptorShare { own, announcement }
}

#[test]
fn a_process_without_a_successor_gets_all_unreserved_descriptors() {
    let mut shares = DescriptorShares::default();
    assert_eq!(shares.divide(USAGE), share(90, None));
    shares.record_sibling(1, 40);
    assert_eq!(shares.divide(USAGE), share(50, None), "a sibling holds 40");
    shares.forget_sibling(1);
    assert_eq!(shares.divide(USAGE), share(90, None));
}

#[test]
fn a_process_with_a_successor_announces_half_and_then_what_it_still_uses() {
    let mut shares = DescriptorShares::default();
    let mut usage = DescriptorUsage {
        has_successor: true,
        ..USAGE
    };
    assert_eq!(shares.divide(usage), share(45, Some(55)));
    assert_eq!(shares.divide(usage), share(45, None), "nothing has changed");
    usage.shutting_down = true;
    assert_eq!(shares.divide(usage), share(20, Some(30)));
    usage.in_use = 13;
    assert_eq!(
        shares.divide(usage),
        share(13, None),
        "a decrease by 7 is not announced"
    );
    usage.in_use = 12;
    assert_eq!(shares.divide(usage), share(12, Some(22)));
    usage.in_use = 60;
    assert_eq!(
        shares.divide(usage),
        share(12, None),
        "never more than announced"
    );
    usage.has_successor = false;
    assert_eq!(shares.divide(usage), share(90, None));
}

#[test]
fn a_share_is_announced_again_after_a_reset() {
    let mut shares = DescriptorShares::default();
    let usage = DescriptorUsage {
        in_use: 70,
        has_successor: true,
        ..USAGE
    };
    assert_eq!(shares.divide(usage), share(70, Some(80)));
    shares.reset_announcement();
    assert_eq!(shares.divide(usage), share(70, Some(80)));
}
