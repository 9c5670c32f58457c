//! Runs three real processes beside a process that hosts hollow proxies, on loopback sockets, and checks that
//! they send as many bytes as the simulation in virtual time predicts. The test is in this crate, not among
//! those of the laboratory, because only here the program is sure to have been built.
use rstest::rstest;
use std::path::PathBuf;
use threadward_lab::scale::real::{host, run, CoordinatorKind, HostCommand, RealRun};

const PROXIES: u16 = 60;
const SECONDS: u64 = 8;
/// The allowed ratio of the bytes on sockets to those in virtual time. Ten runs on a shared machine gave
/// 0.979 to 1.004: only calls that come late by a tenth of the interval between requests, about 30 ms, could
/// leave these bounds. Processor time has no bounds here, because the program is not optimized and its share
/// is a few of the system's clock ticks.
const ALLOWED_BYTES_RATIO: std::ops::RangeInclusive<f64> = 0.9..=1.1;

/// Not a test: the host process, which the test starts from its own executable. The last argument names what
/// it has to run.
#[test]
#[ignore = "the host process of the test, which starts it by name"]
fn hollow_host_process() {
    host(std::env::args_os()).unwrap();
}

#[rstest]
#[case::a_hollow_proxy_divides(CoordinatorKind::Hollow)]
#[case::a_real_process_divides(CoordinatorKind::Real)]
fn processes_send_what_virtual_time_says(#[case] coordinator: CoordinatorKind) {
    let arguments = ["hollow_host_process", "--exact", "--ignored", "--nocapture"].map(String::from).to_vec();
    let settings = RealRun {
        program: PathBuf::from(env!("CARGO_BIN_EXE_threadward")),
        host: HostCommand { program: std::env::current_exe().unwrap(), arguments },
        hosts: 1,
        proxies: PROXIES,
        coordinator,
        seconds: SECONDS,
    };
    let figures = run(&settings).unwrap();
    eprintln!("{}", serde_json::to_string(&figures).unwrap());
    assert_eq!(figures.real_processes, 3);
    let ratios = [Some(figures.bytes_ratio), figures.process_bytes_ratio, figures.grantor_bytes_ratio];
    assert!(
        ratios.iter().all(|ratio| ratio.is_some_and(|ratio| ALLOWED_BYTES_RATIO.contains(&ratio))),
        "{figures:?}"
    );
    let is_positive = |share: Option<f64>| share.is_some_and(|share| share > 0.0);
    assert!(is_positive(figures.grantor_core_real) && is_positive(figures.core_ratio), "{figures:?}");
}
