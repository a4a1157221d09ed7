//! What entries ask and tell one another about streams that are taken up.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::relay::resumption::{Build, Service, Stream};

/// The most notices that one message holds: 1,250 bytes.
pub const MAX_NOTICES: usize = 60;

/// What an entry knows about a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// It began here.
    Known(Build),
    /// The stream is not known; there has been no other version that could have begun it.
    Single(Build),
    /// The same, but whether there have been other versions is not known.
    Unsure(Build),
    /// The stream is not known, and there have been several such versions.
    Several,
    /// No version of its services is known.
    Nothing,
    /// There had been no other version by the last look at the endpoints, which is some time ago.
    Aged(Build),
}

impl Standing {
    /// The standing of an entry that does not know which versions there were before its start.
    #[must_use]
    pub fn of_uninformed(self) -> Self {
        match self {
            Self::Single(build) => Self::Unsure(build),
            standing => standing,
        }
    }

    /// The standing of an entry that knew all versions until its view of the endpoints aged.
    #[must_use]
    pub fn of_aged(self) -> Self {
        match self {
            Self::Single(build) => Self::Aged(build),
            standing => standing,
        }
    }
}

/// The build of a stream, told to a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The stream.
    pub stream: Stream,
    /// Where it began.
    pub build: Build,
    /// For how long it may be taken up.
    pub keep_for: Millis,
}

/// When endpoints of a version were known, told to an entry that has just started, or when streams
/// may begin there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The service.
    pub service: String,
    /// The version.
    pub version: String,
    /// How long ago the first of them was known.
    pub first: Millis,
    /// How long ago the last of them was known.
    pub last: Millis,
    /// Whether the platform has stored that it may begin streams.
    pub is_registered: bool,
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells a keeper of streams.
    Notices(Vec<Notice>),
    /// Tells of versions that may begin streams, or have done so.
    Past(Vec<Past>),
    /// Asks what a keeper knows about a stream.
    Question {
        /// Repeated in the answer.
        number: u64,
        /// The stream; `None` if its caller does not name it.
        stream: Option<Stream>,
        /// The services that may have begun it.
        services: Vec<Service>,
    },
    /// Answers a question.
    Answer {
        /// The number of the question.
        number: u64,
        /// What the keeper knows.
        standing: Standing,
    },
    /// Asks which versions may begin streams.
    PastRequest,
}

/// A question to the keepers of a stream, and their answers so far.
///
/// ```
/// use woodgap_core::relay::resumption::{Inquiry, Build, Standing};
///
/// let (old, new) = (Build::of("links", "v1"), Build::of("links", "v2"));
/// let mut inquiry = Inquiry::new(Standing::Several, 2);
/// inquiry.record(Standing::Several);
/// assert!(!inquiry.is_complete());
/// assert_eq!(inquiry.conclude(true), None);
/// inquiry.record(Standing::Known(new));
/// assert!(inquiry.is_complete());
/// assert_eq!(inquiry.conclude(true), Some(new));
///
/// // Only the own, unconfirmed view says that there is one version.
/// assert_eq!(Inquiry::new(Standing::Single(old), 2).conclude(false), None);
/// ```
#[derive(Clone, Debug)]
pub struct Inquiry {
    own: Standing,
    /// How many have not answered yet.
    unanswered: usize,
    known: Option<Build>,
    /// The only build of those who know one version, unless they contradict one another.
    single: Option<Build>,
    is_mixed: bool,
    /// Whether another entry knows that there has been one version.
    has_witness: bool,
    /// Whether each entry that was asked has answered that it knew of one version.
    is_unanimous: bool,
    /// How many have answered.
    answers: usize,
}

impl Inquiry {
    /// A question of an entry with this standing to so many others.
    pub fn new(own: Standing, asked: usize) -> Self {
        let mut inquiry = Self {
            own,
            unanswered: asked,
            known: None,
            single: None,
            is_mixed: false,
            has_witness: false,
            is_unanimous: asked > 0,
            answers: 0,
        };
        inquiry.weigh(own);
        inquiry
    }

    /// Records an answer.
    pub fn record(&mut self, standing: Standing) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.answers += 1;
        self.has_witness |= matches!(standing, Standing::Single(_));
        self.is_unanimous &= matches!(standing, Standing::Single(_) | Standing::Aged(_));
        self.weigh(standing);
    }

    fn weigh(&mut self, standing: Standing) {
        match standing {
            Standing::Known(build) => self.known = Some(build),
            Standing::Single(build) | Standing::Unsure(build) | Standing::Aged(build) => {
                self.is_mixed |= self.single.is_some_and(|single| single != build);
                self.single = Some(build);
            }
            Standing::Several => self.is_mixed = true,
            Standing::Nothing => {}
        }
    }

    /// Whether no further answer can change the conclusion.
    pub fn is_complete(&self) -> bool {
        self.known.is_some() || self.unanswered == 0
    }

    /// Whether another entry has answered.
    pub fn has_answers(&self) -> bool {
        self.answers > 0
    }

    /// Whether the version is known, rather than the only one that there is.
    pub fn is_known(&self) -> bool {
        self.known.is_some()
    }

    /// Where the stream goes on; `None` if that can't be known. `is_confirmed` says whether this
    /// entry's own view of the endpoints is current.
    pub fn conclude(&self, is_confirmed: bool) -> Option<Build> {
        if self.known.is_some() {
            return self.known;
        }
        let is_sure = match self.own {
            Standing::Single(_) => is_confirmed || self.has_witness,
            Standing::Unsure(_) => self.has_witness,
            // Nobody whose view is younger knows of another one.
            Standing::Aged(_) => self.has_witness || (self.is_unanimous && self.unanswered == 0),
            _ => false,
        };
        self.single.filter(|_| is_sure && !self.is_mixed)
    }
}
