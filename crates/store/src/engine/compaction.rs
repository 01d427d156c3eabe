//! Compaction: live records of the oldest segment are copied to the active one, step by step, and
//! then it is removed.

use super::Engine;
use super::segment::{ChangePosition, find_frame};
use crate::disk::Disk;
use crate::frame::{Change, HEADER_BYTES};
use crate::index::IndexUpdate;
use std::io;

/// Bytes of a segment that one step of cleaning reads, at most: appends wait for a step.
const MAX_STEP_BYTES: usize = 256 << 10;
/// Segments that are left alone beside those that the size of the store accounts for, however small
/// they are.
const SPARE_SEGMENTS: u64 = 16;

/// When a segment is cleaned.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CleaningPolicy {
    /// When it frees enough space for the copies that it costs.
    WhenWorthwhile,
    /// Whenever it frees any space.
    Always,
}

/// The segment that is being cleaned.
pub(super) struct CleaningRun {
    segment: u64,
    image: Vec<u8>,
    /// Where in the image the next step begins.
    position: usize,
    /// All is copied: the segment can go when this frame is durable.
    copied_until_seq: Option<u64>,
}

impl<D: Disk> Engine<D> {
    /// Whether cleaning is due or in progress.
    pub fn needs_cleaning(&self) -> bool {
        self.cleaning.is_some()
            || self
                .next_segment_to_clean(CleaningPolicy::WhenWorthwhile)
                .is_some()
    }

    /// Does a bounded step of cleaning: copies what is live in the oldest segment to the active one
    /// or, once that is durable, removes the segment. Copies become durable with the next
    /// [`Engine::commit`].
    ///
    /// # Errors
    ///
    /// An error of the disk: the segment stays, and cleaning begins anew.
    pub fn clean(&mut self) -> io::Result<()> {
        self.clean_step(CleaningPolicy::WhenWorthwhile)
    }

    /// Cleans until every file but the last holds live records only, whatever that costs.
    ///
    /// # Errors
    ///
    /// An error of the disk.
    pub fn compact(&mut self) -> io::Result<()> {
        let end = self.next_segment;
        if self.index.live_bytes() < self.file_bytes() {
            // What is written from now on goes to a segment that is not cleaned here.
            if let Some(active) = self.active {
                self.seal(active);
            }
        }
        while self.cleaning.is_some()
            || self
                .next_segment_to_clean(CleaningPolicy::Always)
                .is_some_and(|number| number < end && !self.damaged.contains(&number))
        {
            self.clean_step(CleaningPolicy::Always)?;
            if !self.buffer.is_empty() {
                self.commit()?;
            }
        }
        Ok(())
    }

    /// The segment that is to be cleaned next, if one is: a distrusted one first, else the oldest.
    fn next_segment_to_clean(&self, policy: CleaningPolicy) -> Option<u64> {
        let (&oldest, segment) = self.segments.iter().next()?;
        let distrusted = self
            .segments
            .iter()
            .find(|(number, s)| s.distrusted && Some(**number) != self.active);
        if let Some((&number, _)) = distrusted {
            return Some(number);
        }
        if Some(oldest) == self.active {
            return None;
        }
        let file_bytes = self.file_bytes();
        let live_bytes = self.index.live_bytes();
        let max_bytes =
            (live_bytes as f64 * self.options.max_space_ratio) as u64 + self.options.segment_bytes;
        let max_segments = 2 * file_bytes / self.options.segment_bytes + SPARE_SEGMENTS;
        let is_due = segment.live_bytes == 0
            || file_bytes > max_bytes
            || self.segments.len() as u64 > max_segments
            || (policy == CleaningPolicy::Always && file_bytes > live_bytes);
        is_due.then_some(oldest)
    }

    fn clean_step(&mut self, policy: CleaningPolicy) -> io::Result<()> {
        let Some(mut run) = self.cleaning.take() else {
            return self.begin_cleaning(policy);
        };
        if let Some(seq) = run.copied_until_seq {
            if seq <= self.durable_seq {
                return self.finish_cleaning(run.segment);
            }
            self.cleaning = Some(run);
            return Ok(());
        }
        let is_oldest = self.first_segment() == Some(run.segment);
        let step_end = run.position + MAX_STEP_BYTES;
        let image = std::mem::take(&mut run.image);
        while run.position < step_end {
            let Some(located) = find_frame(run.segment, &image, run.position) else {
                run.copied_until_seq = Some(self.mark_copied(run.segment, is_oldest));
                break;
            };
            run.position = located.end();
            for (position, change) in located.changes(run.segment) {
                self.copy_if_needed(position, change, is_oldest);
            }
        }
        run.image = image;
        self.cleaning = Some(run);
        Ok(())
    }

    fn begin_cleaning(&mut self, policy: CleaningPolicy) -> io::Result<()> {
        if let Some(segment) = self.next_segment_to_clean(policy) {
            self.cleaning = Some(CleaningRun {
                segment,
                image: self.read_image(segment)?,
                position: HEADER_BYTES,
                copied_until_seq: None,
            });
        }
        Ok(())
    }

    /// Returns the sequence number that has to be durable before the segment may go. For the oldest
    /// one it is that of a frame which says that the segment no longer counts: a start must be able
    /// to tell a file that was removed from one that is missing.
    fn mark_copied(&mut self, number: u64, is_oldest: bool) -> u64 {
        if is_oldest {
            self.buffer_frame(&[Change::OldestSegment {
                segment: number + 1,
            }])
        } else {
            self.last_seq
        }
    }

    /// Copies a change of the segment that is cleaned, if it is still needed.
    fn copy_if_needed(&mut self, position: ChangePosition, change: Change<'_>, is_oldest: bool) {
        let needed = match change {
            Change::Put {
                key, expires_at_ms, ..
            } if self.is_live(position, key) => {
                if expires_at_ms != 0 && expires_at_ms <= self.now_ms {
                    self.apply_update(IndexUpdate {
                        key: key.into(),
                        location: None,
                    });
                    // Older values of its key, if there are any, must not come back.
                    (!is_oldest).then_some(Change::Delete { key })
                } else {
                    Some(change)
                }
            }
            // A delete is needed as long as an older segment may hold what it deletes.
            Change::Delete { key } if !is_oldest && !self.has(key) => Some(change),
            _ => None,
        };
        let Some(copy) = needed else {
            return;
        };
        // A newer change of the same key in the buffer makes the copy needless.
        let overwritten = self
            .buffered_updates
            .iter()
            .any(|update| *update.key == *copy.key());
        if !overwritten {
            self.copied_bytes += copy.size() as u64;
            self.buffer_frame(&[copy]);
        }
    }

    /// Removes a segment whose live records have been copied.
    fn finish_cleaning(&mut self, number: u64) -> io::Result<()> {
        let is_oldest = self.first_segment() == Some(number);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Ok(());
        };
        if !is_oldest {
            // It keeps its place, or the segments around it would seem to miss it. All that was
            // live in it is elsewhere, so that it goes without more work once it is the oldest.
            segment.distrusted = false;
            return Ok(());
        }
        // While a part of it can't be read in any copy, nothing of it is thrown away.
        if segment.live_bytes > 0 && self.damaged.contains(&number) {
            return Ok(());
        }
        self.remove_files(number)?;
        self.segments.remove(&number);
        Ok(())
    }
}
