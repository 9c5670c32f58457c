//! Runs one [`nickelgate::Router`] per instance of the simulator: reads frames of events from standard input
//! and writes the frames of actions to standard output.
use nickelgate_drill::{read_frame, RouterHost};
use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut host = RouterHost::default();
    loop {
        let reply = match read_frame(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(frame)) => host.handle_frame(&frame),
            Err(e) => Err(e),
        };
        match reply {
            Ok(bytes) => {
                if let Err(e) = output.write_all(&bytes).and_then(|()| output.flush()) {
                    eprintln!("nickelgate-drill: cannot write a reply: {e}");
                    return ExitCode::FAILURE;
                }
            }
            Err(e) => {
                eprintln!("nickelgate-drill: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
}
