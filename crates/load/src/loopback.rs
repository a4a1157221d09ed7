//! Keeps the load on this machine.

use std::net::IpAddr;

use awc::http::Uri;

use crate::Error;

/// The base URL, without a slash at its end, if it names a loopback address.
///
/// Host names are refused too, since they may resolve to anywhere.
///
/// # Errors
///
/// [`Error::NotLoopback`] for everything else.
///
/// ```
/// use woodgap_load::loopback;
///
/// assert_eq!(loopback::base("http://127.0.0.1:80/").unwrap(), "http://127.0.0.1:80");
/// assert!(loopback::base("http://192.0.2.7:80").is_err());
/// ```
pub fn base(url: &str) -> Result<String, Error> {
    let refused = || Error::NotLoopback(url.to_owned());
    let uri: Uri = url.parse().map_err(|_| refused())?;
    let host = uri.host().ok_or_else(refused)?;
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let address: IpAddr = host.parse().map_err(|_| refused())?;
    if uri.scheme_str() == Some("http") && address.is_loopback() {
        Ok(url.trim_end_matches('/').to_owned())
    } else {
        Err(refused())
    }
}

#[cfg(test)]
mod tests;
