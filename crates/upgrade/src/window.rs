//! Maintenance windows: hours of local time on certain days of the week.

use jiff::civil::{Date, Time, Weekday};
use jiff::tz::TimeZone;
use jiff::{Span, Timestamp};

/// The number of days for which windows are compared with each other and searched for the next opening: a
/// year and a week, so that every daylight saving transition is covered.
const DAYS_AHEAD: usize = 372;

/// A window that is open from `opens` to `closes` on each day from `first` to `last`, in local time. If
/// `closes` is not later than `opens`, the window closes on the next day.
#[derive(Clone, Debug, PartialEq)]
pub struct Window {
    first: Weekday,
    last: Weekday,
    opens: Time,
    closes: Time,
    zone: TimeZone,
    /// The window as written, for error messages.
    text: String,
}

/// A window that cannot be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum WindowError {
    /// The window does not have five parts of the right types.
    #[error("must be FIRST-DAY LAST-DAY \"HH:MM\" \"HH:MM\" \"ZONE\"")]
    Malformed,
    /// This is not a day of the week.
    #[error("{0} is not a day of the week")]
    UnknownDay(String),
    /// This is not a time of day, with two digits each for hours and minutes.
    #[error("{0} is not a time of day such as 20:00")]
    UnknownTime(String),
    /// The time zone database does not have this zone.
    #[error("{0} is not a time zone in the time zone database")]
    UnknownZone(String),
    /// The window is never open.
    #[error("is empty: it opens and closes at the same time")]
    Empty,
    /// Two windows overlap within the coming year.
    #[error("overlaps {other}")]
    Overlap {
        /// The later one in the file, as written.
        window: String,
        /// The earlier one in the file, as written.
        other: String,
    },
}

impl WindowError {
    /// For an overlap, the window that is rejected; empty for other errors.
    pub fn window(&self) -> String {
        match self {
            WindowError::Overlap { window, .. } => window.clone(),
            _ => String::new(),
        }
    }
}

/// A time for which a window is open, in milliseconds since the Unix epoch.
#[derive(Clone, Copy)]
struct Interval {
    opens_ms: i64,
    closes_ms: i64,
}

impl Window {
    /// Parses a window: its first and last day, its opening and closing time and its time zone.
    ///
    /// # Errors
    /// When a part is not valid, or the window closes when it opens.
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

    fn opens_on(&self, day: Weekday) -> bool {
        let since_first = day.since(self.first);
        since_first <= self.last.since(self.first)
    }

    /// The interval that begins on this day, if any. A local time that a daylight saving transition skips
    /// is shifted by the skipped time; of a local time that occurs twice, the first counts.
    fn interval_on(&self, day: Date) -> Option<Interval> {
        if !self.opens_on(day.weekday()) {
            return None;
        }
        let closing_day = if self.closes > self.opens {
            day
        } else {
            day.tomorrow().ok()?
        };
        let interval = Interval {
            opens_ms: instant_ms(day, self.opens, &self.zone)?,
            closes_ms: instant_ms(closing_day, self.closes, &self.zone)?,
        };
        (interval.opens_ms < interval.closes_ms).then_some(interval)
    }

    /// The intervals that begin on the day before this moment or later, in order.
    fn intervals_from(&self, now_ms: u64) -> impl Iterator<Item = Interval> + '_ {
        let today = timestamp(now_ms).map(|now| self.zone.to_datetime(now).date());
        let days = today.into_iter().flat_map(|today| {
            let first = today.yesterday().unwrap_or(today);
            first.series(Span::new().days(1)).take(DAYS_AHEAD)
        });
        days.filter_map(|day| self.interval_on(day))
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

fn instant_ms(day: Date, time: Time, zone: &TimeZone) -> Option<i64> {
    let local = day.to_datetime(time);
    let zoned = local.to_zoned(zone.clone()).ok()?;
    Some(zoned.timestamp().as_millisecond())
}

fn timestamp(ms: u64) -> Option<Timestamp> {
    Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok()
}

/// The windows of a policy. They do not overlap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Windows(Vec<Window>);

impl Windows {
    /// Checks that the windows do not overlap; `now_ms` is the time of day in milliseconds since the Unix
    /// epoch.
    ///
    /// # Errors
    /// When two windows overlap within the year after `now_ms`.
    pub fn new(windows: Vec<Window>, now_ms: u64) -> Result<Windows, WindowError> {
        for (index, window) in windows.iter().enumerate() {
            for other in &windows[..index] {
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

    /// Whether a window is open at this moment; true if there are no windows.
    pub fn is_open(&self, now_ms: u64) -> bool {
        let now = now_ms as i64;
        let is_open = |window: &Window| {
            let intervals = window.intervals_from(now_ms);
            let mut opened = intervals.take_while(|interval| interval.opens_ms <= now);
            opened.any(|interval| now < interval.closes_ms)
        };
        self.0.is_empty() || self.0.iter().any(is_open)
    }

    /// When the next window opens, as local time with its zone; `None` if none opens within a year.
    pub fn next_opening(&self, now_ms: u64) -> Option<String> {
        let now = now_ms as i64;
        let openings = self.0.iter().filter_map(|window| {
            let mut intervals = window.intervals_from(now_ms);
            let next = intervals.find(|interval| interval.opens_ms > now)?;
            Some((next.opens_ms, &window.zone))
        });
        let (opens_ms, zone) = openings.min_by_key(|(opens_ms, _)| *opens_ms)?;
        let opens = Timestamp::from_millisecond(opens_ms).ok()?;
        Some(opens.to_zoned(zone.clone()).to_string())
    }
}

/// Whether two windows are open at the same time at any moment within the year after `now_ms`.
fn overlap(one: &Window, other: &Window, now_ms: u64) -> bool {
    let others: Vec<Interval> = other.intervals_from(now_ms).collect();
    let overlaps_other = |interval: Interval| {
        let following = others.partition_point(|other| other.closes_ms <= interval.opens_ms);
        let following = others.get(following);
        following.is_some_and(|other| other.opens_ms < interval.closes_ms)
    };
    one.intervals_from(now_ms).any(overlaps_other)
}
