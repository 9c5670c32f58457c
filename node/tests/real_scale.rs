//! Three real processes beside a host of hollow proxies on loopback sockets: what they send is what virtual time says.
//! It stands here, not beside the laboratory's tests, because only here the program is sure to have been built.
use rstest::rstest;
use std::path::PathBuf;
use threadward_lab::scale::real::{host, run, Divider, HostCommand, RealRun};

const PROXIES: u16 = 60;
const SECONDS: u64 = 8;
/// Bytes on sockets over those of virtual time. Ten runs on a machine that others used gave 0.979 to 1.004: only calls that
/// come a tenth of a question's interval late, about 30 ms, could leave these bounds. Processor time has none here, as the
/// program is not optimized and its share is a few of the system's ticks.
const NEAR: std::ops::RangeInclusive<f64> = 0.9..=1.1;

/// Not a test: the host process that the test starts from this very program. The last argument names its job.
#[test]
#[ignore = "the host process of the test, which starts it by name"]
fn hollow_host_process() {
    host(std::env::args_os()).unwrap();
}

#[rstest]
#[case::a_hollow_proxy_divides(Divider::Hollow)]
#[case::a_real_process_divides(Divider::Real)]
fn processes_send_what_virtual_time_says(#[case] divided_by: Divider) {
    let arguments = ["hollow_host_process", "--exact", "--ignored", "--nocapture"].map(String::from).to_vec();
    let settings = RealRun {
        program: PathBuf::from(env!("CARGO_BIN_EXE_threadward")),
        host: HostCommand { program: std::env::current_exe().unwrap(), arguments },
        hosts: 1,
        proxies: PROXIES,
        divided_by,
        seconds: SECONDS,
    };
    let figures = run(&settings).unwrap();
    eprintln!("{}", serde_json::to_string(&figures).unwrap());
    assert_eq!(figures.real_processes, 3);
    let ratios = [Some(figures.bytes_ratio), figures.process_bytes_ratio, figures.grantor_bytes_ratio];
    assert!(ratios.iter().all(|ratio| ratio.is_some_and(|ratio| NEAR.contains(&ratio))), "{figures:?}");
    let used = |core: Option<f64>| core.is_some_and(|core| core > 0.0);
    assert!(used(figures.grantor_core_real) && used(figures.core_ratio), "{figures:?}");
}
