//! SNMPv2c packets (RFC 3416) in BER, read and written by `rasn` over the types of `rasn-snmp`. It owns the form of a
//! packet and the bounds on one; it must never decide what is answered.
use rasn::{AsnType, Decode, Decoder, Encode};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax};
use rasn_snmp::v2::{VarBind, VarBindList, VarBindValue};
use rasn_snmp::v2c::Message;

/// Variables that one packet may name.
pub const VARIABLES: usize = 128;
/// Numbers in a name (RFC 3416, section 2).
const NUMBERS: usize = 128;

pub type Oid = Vec<u32>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    Counter64(u64),
    Gauge32(u32),
    Null,
    NoSuchObject,
    NoSuchInstance,
    EndOfMib,
}

pub const GET: u8 = 0xa0;
pub const GET_NEXT: u8 = 0xa1;
pub const RESPONSE: u8 = 0xa2;
pub const SET: u8 = 0xa3;
pub const GET_BULK: u8 = 0xa5;

/// A packet. In a GETBULK `error_status` and `error_index` are the non-repeaters and the repetitions.
#[derive(Clone, Debug, PartialEq)]
pub struct Packet {
    pub version: i64,
    pub community: Vec<u8>,
    pub pdu_type: u8,
    pub request_id: i64,
    pub error_status: i64,
    pub error_index: i64,
    pub variables: Vec<(Oid, Value)>,
}

/// The one form of all bodies. That of `rasn-snmp` drops a request whose numbers are outside 32 bits or negative; here
/// its request_id comes back as it came, and a negative count is none.
#[derive(AsnType, Decode, Encode)]
struct Body {
    request_id: i64,
    error_status: i64,
    error_index: i64,
    variables: VarBindList,
}

#[derive(AsnType, Decode, Encode)]
#[rasn(choice)]
enum Pdu {
    #[rasn(tag(0))]
    Get(Body),
    #[rasn(tag(1))]
    GetNext(Body),
    #[rasn(tag(2))]
    Response(Body),
    #[rasn(tag(3))]
    Set(Body),
    #[rasn(tag(5))]
    GetBulk(Body),
}

/// Reads a packet; nothing where it is malformed or of a kind that no manager sends.
pub fn decode(buf: &[u8]) -> Option<Packet> {
    let (message, rest): (Message<Pdu>, _) = rasn::ber::decode_with_remainder(buf).ok()?;
    let (pdu_type, body) = match message.data {
        Pdu::Get(b) => (GET, b),
        Pdu::GetNext(b) => (GET_NEXT, b),
        Pdu::Response(b) => (RESPONSE, b),
        Pdu::Set(b) => (SET, b),
        Pdu::GetBulk(b) => (GET_BULK, b),
    };
    if !rest.is_empty() || body.variables.len() > VARIABLES {
        return None;
    }
    let variable = |v: VarBind| (v.name.len() <= NUMBERS).then(|| (v.name.to_vec(), value(&v.value)));
    Some(Packet {
        version: i64::try_from(message.version).ok()?,
        community: message.community.to_vec(),
        pdu_type,
        request_id: body.request_id,
        error_status: body.error_status,
        error_index: body.error_index,
        variables: body.variables.into_iter().map(variable).collect::<Option<_>>()?,
    })
}

fn value(v: &VarBindValue) -> Value {
    match v {
        VarBindValue::Value(ObjectSyntax::ApplicationWide(ApplicationSyntax::BigCounter(n))) => {
            Value::Counter64(n.0)
        }
        VarBindValue::Value(ObjectSyntax::ApplicationWide(ApplicationSyntax::Unsigned(n))) => {
            Value::Gauge32(n.0)
        }
        VarBindValue::NoSuchObject => Value::NoSuchObject,
        VarBindValue::NoSuchInstance => Value::NoSuchInstance,
        VarBindValue::EndOfMibView => Value::EndOfMib,
        // Only a SET brings other values, and none is taken.
        VarBindValue::Unspecified | VarBindValue::Value(_) => Value::Null,
    }
}

/// Writes a packet; nothing where a name in it is none.
pub fn encode(p: &Packet) -> Vec<u8> {
    let written = || {
        let variables = p.variables.iter().map(|(name, value)| bind(name, *value)).collect::<Option<_>>()?;
        let body = Body {
            request_id: p.request_id,
            error_status: p.error_status,
            error_index: p.error_index,
            variables,
        };
        let data = match p.pdu_type {
            GET => Pdu::Get(body),
            GET_NEXT => Pdu::GetNext(body),
            RESPONSE => Pdu::Response(body),
            SET => Pdu::Set(body),
            GET_BULK => Pdu::GetBulk(body),
            _ => return None,
        };
        let community = p.community.clone().into();
        rasn::ber::encode(&Message { version: p.version.into(), community, data }).ok()
    };
    written().unwrap_or_default()
}

fn bind(name: &Oid, value: Value) -> Option<VarBind> {
    let wide = |v| VarBindValue::Value(ObjectSyntax::ApplicationWide(v));
    let value = match value {
        Value::Counter64(n) => wide(ApplicationSyntax::BigCounter(Counter64(n))),
        Value::Gauge32(n) => wide(ApplicationSyntax::Unsigned(rasn_smi::v1::Gauge(n))),
        Value::Null => VarBindValue::Unspecified,
        Value::NoSuchObject => VarBindValue::NoSuchObject,
        Value::NoSuchInstance => VarBindValue::NoSuchInstance,
        Value::EndOfMib => VarBindValue::EndOfMibView,
    };
    Some(VarBind { name: rasn::types::ObjectIdentifier::new(name.clone())?, value })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn asked(variables: usize, numbers: usize) -> Vec<u8> {
        let variables = vec![([vec![1, 3], vec![6; numbers - 2]].concat(), Value::Null); variables];
        let community = b"depot".to_vec();
        encode(&Packet {
            version: 1,
            community,
            pdu_type: GET,
            request_id: 7,
            error_status: 0,
            error_index: 0,
            variables,
        })
    }

    /// The bounds that the reader of BER does not have, and lengths in the long form that managers send.
    #[rstest]
    #[case::most_variables(asked(VARIABLES, 8), Some(VARIABLES))]
    #[case::another_variable(asked(VARIABLES + 1, 8), None)]
    #[case::most_numbers(asked(1, NUMBERS), Some(1))]
    #[case::another_number(asked(1, NUMBERS + 1), None)]
    #[case::a_byte_after_it([asked(1, 8), vec![0]].concat(), None)]
    #[case::long_form([&[0x30, 0x82, 0, 36], &asked(1, 8)[2..]].concat(), Some(1))]
    fn bounds(#[case] packet: Vec<u8>, #[case] variables: Option<usize>) {
        assert_eq!(decode(&packet).map(|p| p.variables.len()), variables);
    }
}
