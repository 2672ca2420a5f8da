//! Text forms of times and durations.

use compact_str::{CompactString, format_compact};

/// Milliseconds of a day.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// A time in UTC in the format of RFC 3339, to the second, from milliseconds since the Unix epoch.
pub fn utc(unix_ms: u64) -> CompactString {
    let (year, month, day) = date(unix_ms / DAY_MS);
    let ms = unix_ms % DAY_MS;
    let (hours, minutes, seconds) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
    format_compact!("{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{seconds:02}Z")
}

/// A duration in ms, s, min, or h and min, whichever suits its length, from milliseconds.
pub fn duration(ms: u64) -> CompactString {
    match ms {
        0..1_000 => format_compact!("{ms} ms"),
        1_000..60_000 => format_compact!("{}.{} s", ms / 1_000, ms / 100 % 10),
        60_000..3_600_000 => format_compact!("{} min", ms / 60_000),
        _ => format_compact!("{} h {} min", ms / 3_600_000, ms / 60_000 % 60),
    }
}

/// Year, month and day in the Gregorian calendar, from days since the Unix epoch. The calculation
/// uses years that start on 1 March, so that a leap day is the last day of its year.
fn date(days: u64) -> (u64, u64, u64) {
    // From 1 March of year 0 to the epoch are 719,468 days; 400 years have 146,097 days.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    // From March on, the lengths of the months repeat every five months, which have 153 days.
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let (year, month) = (era * 400 + year, if month < 10 { month + 3 } else { month - 9 });
    (if month <= 2 { year + 1 } else { year }, month, day)
}
