//! Maintenance windows: hours of local time on some days of the week.

use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp};

/// Days for which windows are held against each other, and searched for the next opening: all
/// changes of clocks come up within a year.
const DAYS_AHEAD: usize = 372;

/// From `opens` to `closes` on each day from the first to the last, in local time. One that closes no
/// later than it opens closes on the next day.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    first: Weekday,
    last: Weekday,
    opens: Time,
    closes: Time,
    zone: TimeZone,
    text: String,
}

/// A window that cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WindowError {
    #[error("must be FIRST-DAY LAST-DAY \"HH:MM\" \"HH:MM\" \"ZONE\"")]
    Malformed,
    #[error("{0} is no day of the week")]
    UnknownDay(String),
    #[error("{0} is no time of day such as 20:00")]
    UnknownTime(String),
    #[error("{0} is no time zone that is known here")]
    UnknownZone(String),
    #[error("is empty: it closes as it opens")]
    Empty,
    #[error("overlaps {other}")]
    Overlap { window: String, other: String },
}

impl WindowError {
    /// The window that it is about, where several were given.
    pub fn window(&self) -> String {
        match self {
            WindowError::Overlap { window, .. } => window.clone(),
            _ => String::new(),
        }
    }
}

/// Milliseconds of the time of day.
type Interval = (i64, i64);

impl Window {
    pub fn new(
        first: &str,
        last: &str,
        opens: &str,
        closes: &str,
        zone: &str,
    ) -> Result<Window, WindowError> {
        let window = Window {
            first: weekday(first)?,
            last: weekday(last)?,
            opens: time(opens)?,
            closes: time(closes)?,
            zone: TimeZone::get(zone).map_err(|_| WindowError::UnknownZone(zone.to_string()))?,
            text: format!("{first} {last} {opens} {closes} {zone}"),
        };
        if window.opens == window.closes {
            return Err(WindowError::Empty);
        }
        Ok(window)
    }

    fn is_on(&self, day: Weekday) -> bool {
        let since_first = day.since(self.first);
        since_first <= self.last.since(self.first)
    }

    /// When it is open, if it opens on this day. A local time that a change of clocks skips is that
    /// much later; of one that comes twice it is the first.
    fn on(&self, day: Date) -> Option<Interval> {
        if !self.is_on(day.weekday()) {
            return None;
        }
        let closing_day = if self.closes > self.opens {
            day
        } else {
            day.tomorrow().ok()?
        };
        let opens = instant(day, self.opens, &self.zone)?;
        let closes = instant(closing_day, self.closes, &self.zone)?;
        (opens < closes).then_some((opens, closes))
    }

    /// When it is open, from the day before this moment on.
    fn from(&self, now_ms: u64) -> impl Iterator<Item = Interval> + '_ {
        let today = timestamp(now_ms).map(|now| self.zone.to_datetime(now).date());
        let days = today.into_iter().flat_map(|today| {
            let first = today.yesterday().unwrap_or(today);
            first.series(Span::new().days(1)).take(DAYS_AHEAD)
        });
        days.filter_map(|day| self.on(day))
    }
}

fn weekday(text: &str) -> Result<Weekday, WindowError> {
    Ok(match text {
        "monday" => Weekday::Monday,
        "tuesday" => Weekday::Tuesday,
        "wednesday" => Weekday::Wednesday,
        "thursday" => Weekday::Thursday,
        "friday" => Weekday::Friday,
        "saturday" => Weekday::Saturday,
        "sunday" => Weekday::Sunday,
        _ => return Err(WindowError::UnknownDay(text.to_string())),
    })
}

fn time(text: &str) -> Result<Time, WindowError> {
    let unknown = || WindowError::UnknownTime(text.to_string());
    let (hour, minute) = text.split_once(':').ok_or_else(unknown)?;
    if hour.len() != 2 || minute.len() != 2 {
        return Err(unknown());
    }
    let number = |digits: &str| digits.parse::<i8>().map_err(|_| unknown());
    Time::new(number(hour)?, number(minute)?, 0, 0).map_err(|_| unknown())
}

fn instant(day: Date, time: Time, zone: &TimeZone) -> Option<i64> {
    let local = day.to_datetime(time);
    let zoned = local.to_zoned(zone.clone()).ok()?;
    Some(zoned.timestamp().as_millisecond())
}

fn timestamp(ms: u64) -> Option<Timestamp> {
    Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok()
}

/// Windows that do not overlap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Windows(Vec<Window>);

impl Windows {
    /// Refuses windows that overlap within the year after `now_ms`.
    pub fn new(windows: Vec<Window>, now_ms: u64) -> Result<Windows, WindowError> {
        for (i, window) in windows.iter().enumerate() {
            for other in &windows[..i] {
                if overlap(window, other, now_ms) {
                    return Err(WindowError::Overlap {
                        window: window.text.clone(),
                        other: other.text.clone(),
                    });
                }
            }
        }
        Ok(Windows(windows))
    }

    /// Whether one is open. Without any, it always is.
    pub fn is_open(&self, now_ms: u64) -> bool {
        let now = now_ms as i64;
        let is_open = |window: &Window| {
            let mut soon = window.from(now_ms).take_while(|(opens, _)| *opens <= now);
            soon.any(|(_, closes)| now < closes)
        };
        self.0.is_empty() || self.0.iter().any(is_open)
    }

    /// When the next one opens, in its local time.
    pub fn next_opening(&self, now_ms: u64) -> Option<String> {
        let now = now_ms as i64;
        let openings = self.0.iter().filter_map(|window| {
            let (opens, _) = window.from(now_ms).find(|(opens, _)| *opens > now)?;
            Some((opens, &window.zone))
        });
        let (opens, zone) = openings.min_by_key(|(opens, _)| *opens)?;
        let opens = Timestamp::from_millisecond(opens).ok()?;
        Some(opens.to_zoned(zone.clone()).to_string())
    }
}

fn overlap(one: &Window, other: &Window, now_ms: u64) -> bool {
    let others: Vec<Interval> = other.from(now_ms).collect();
    let meets = |(opens, closes): Interval| {
        let after = others.partition_point(|(_, c)| *c <= opens);
        others.get(after).is_some_and(|(o, _)| *o < closes)
    };
    one.from(now_ms).any(meets)
}
