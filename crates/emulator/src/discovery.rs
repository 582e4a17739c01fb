//! A stand-in discovery service: it tells the whole list to whoever connects, each change, and a sign of life each second.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One engine of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    pub id: u32,
    pub address: SocketAddr,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub cell: u16,
    pub up_since_ms: u64,
}

#[derive(Default)]
struct List {
    number: u64,
    rows: Vec<Row>,
    readers: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

/// A frame: its number, 1 for the whole list, 2 for changes, 0 for a sign of life.
pub fn frame(number: u64, kind: u8, rows: &[Row]) -> Vec<u8> {
    let mut payload = Vec::new();
    for row in rows {
        let SocketAddr::V4(address) = row.address else { continue };
        payload.extend(row.id.to_be_bytes());
        payload.extend(address.ip().octets());
        payload.extend(address.port().to_be_bytes());
        payload.extend([row.state, 0, 0]);
        payload.extend(row.cell.to_be_bytes());
        payload.extend(1000u32.to_be_bytes());
        payload.extend(row.up_since_ms.to_be_bytes());
    }
    let length = 9 + payload.len() as u32;
    [&length.to_be_bytes()[..], &number.to_be_bytes(), &[kind], &payload].concat()
}

impl Discovery {
    pub fn start(rows: Vec<Row>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let list = Arc::new(Mutex::new(List { number: 1, rows, readers: Vec::new() }));
        let (told, beat) = (Arc::clone(&list), Arc::clone(&list));
        std::thread::spawn(move || {
            for mut reader in listener.incoming().flatten() {
                // It says which event it knows, and is told everything.
                if reader.read_exact(&mut [0; 8]).is_err() {
                    continue;
                }
                let mut list = told.lock().expect("nobody panics with it");
                if reader.write_all(&frame(list.number, 1, &list.rows)).is_ok() {
                    list.readers.push(reader);
                }
            }
        });
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_secs(1));
                let mut list = beat.lock().expect("nobody panics with it");
                let sign = frame(list.number, 0, &[]);
                list.readers.retain_mut(|reader| reader.write_all(&sign).is_ok());
            }
        });
        Ok(Self { address, list })
    }

    /// An engine's row is another from now on.
    pub fn change(&self, row: Row) {
        let mut list = self.list.lock().expect("nobody panics with it");
        list.number += 1;
        list.rows.retain(|other| other.id != row.id);
        if row.state < 2 {
            list.rows.push(row);
        }
        let change = frame(list.number, 2, &[row]);
        list.readers.retain_mut(|reader| reader.write_all(&change).is_ok());
    }
}
