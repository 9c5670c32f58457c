//! Decodes and encodes SNMPv2c packets (RFC 3416) in BER, by `rasn` with the types of `rasn-snmp`, and limits
//! the variables and the length of names in a packet that is decoded. What is answered is decided in
//! `snmp.rs`.
use rasn::{AsnType, Decode, Decoder, Encode};
use rasn_smi::v2::{ApplicationSyntax, Counter64, ObjectSyntax};
use rasn_snmp::v2::{VarBind, VarBindList, VarBindValue};
use rasn_snmp::v2c::Message;

/// Largest number of variables in a packet.
pub const MAX_VARIABLES: usize = 128;
/// Largest number of sub-identifiers in a name (RFC 3416, section 2).
const MAX_SUB_IDENTIFIERS: usize = 128;

/// The name of an object.
pub type Oid = Vec<u32>;

/// The value of a variable. The last three are the exceptions of RFC 3416.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    Counter64(u64),
    Gauge32(u32),
    Null,
    NoSuchObject,
    NoSuchInstance,
    EndOfMib,
}

/// The BER tag of a GetRequest.
pub const GET: u8 = 0xa0;
/// The BER tag of a GetNextRequest.
pub const GET_NEXT: u8 = 0xa1;
/// The BER tag of a Response.
pub const RESPONSE: u8 = 0xa2;
/// The BER tag of a SetRequest.
pub const SET: u8 = 0xa3;
/// The BER tag of a GetBulkRequest.
pub const GET_BULK: u8 = 0xa5;

/// A packet. In a GetBulkRequest `error_status` and `error_index` hold the non-repeaters and the
/// max-repetitions.
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

/// The body of every kind of packet. The type of `rasn-snmp` rejects a request whose numbers are negative or
/// exceed 32 bits. With this one, such a request is answered with its id unchanged, and a negative count is
/// taken as zero.
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

/// Decodes a packet. Returns `None` if it is malformed, exceeds a limit or is of another kind than the five
/// above.
pub fn decode(buf: &[u8]) -> Option<Packet> {
    let (message, rest): (Message<Pdu>, _) = rasn::ber::decode_with_remainder(buf).ok()?;
    let (pdu_type, body) = match message.data {
        Pdu::Get(b) => (GET, b),
        Pdu::GetNext(b) => (GET_NEXT, b),
        Pdu::Response(b) => (RESPONSE, b),
        Pdu::Set(b) => (SET, b),
        Pdu::GetBulk(b) => (GET_BULK, b),
    };
    if !rest.is_empty() || body.variables.len() > MAX_VARIABLES {
        return None;
    }
    let variable =
        |v: VarBind| (v.name.len() <= MAX_SUB_IDENTIFIERS).then(|| (v.name.to_vec(), value(&v.value)));
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
        // Only a SetRequest carries other values, and it is refused.
        VarBindValue::Unspecified | VarBindValue::Value(_) => Value::Null,
    }
}

/// Encodes a packet. Returns no bytes if a name in it is not a valid object identifier or its kind is
/// unknown.
pub fn encode(p: &Packet) -> Vec<u8> {
    let encoded = || {
        let variables =
            p.variables.iter().map(|(name, value)| to_var_bind(name, *value)).collect::<Option<_>>()?;
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
    encoded().unwrap_or_default()
}

/// Converts a variable to the type of `rasn-snmp`. Returns `None` if its name is not a valid object
/// identifier.
fn to_var_bind(name: &Oid, value: Value) -> Option<VarBind> {
    let application_wide = |v| VarBindValue::Value(ObjectSyntax::ApplicationWide(v));
    let value = match value {
        Value::Counter64(n) => application_wide(ApplicationSyntax::BigCounter(Counter64(n))),
        Value::Gauge32(n) => application_wide(ApplicationSyntax::Unsigned(rasn_smi::v1::Gauge(n))),
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

    /// Encodes a GetRequest for as many variables, whose names have as many sub-identifiers.
    fn get_request(variables: usize, sub_identifiers: usize) -> Vec<u8> {
        let variables = vec![([vec![1, 3], vec![6; sub_identifiers - 2]].concat(), Value::Null); variables];
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

    /// Guards the limits that the BER decoder does not check itself, and lengths in the long form, which
    /// managers send.
    #[rstest]
    #[case::max_variables(get_request(MAX_VARIABLES, 8), Some(MAX_VARIABLES))]
    #[case::too_many_variables(get_request(MAX_VARIABLES + 1, 8), None)]
    #[case::max_sub_identifiers(get_request(1, MAX_SUB_IDENTIFIERS), Some(1))]
    #[case::too_many_sub_identifiers(get_request(1, MAX_SUB_IDENTIFIERS + 1), None)]
    #[case::trailing_byte([get_request(1, 8), vec![0]].concat(), None)]
    #[case::long_form([&[0x30, 0x82, 0, 36], &get_request(1, 8)[2..]].concat(), Some(1))]
    fn bounds(#[case] packet: Vec<u8>, #[case] variables: Option<usize>) {
        assert_eq!(decode(&packet).map(|p| p.variables.len()), variables);
    }
}
