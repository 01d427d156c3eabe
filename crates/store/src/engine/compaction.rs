//! Compaction: the live records of the oldest segment are copied to the active one in bounded
//! steps, and then the oldest segment is removed.

use super::Engine;
use super::segment::{ChangePosition, find_frame};
use crate::disk::Disk;
use crate::frame::{Change, HEADER_BYTES};
use crate::index::IndexUpdate;
use std::io;

/// Maximum number of bytes of a segment that one step processes. Bounded because appends wait for a
/// step to end.
const MAX_STEP_BYTES: usize = 256 << 10;
/// Number of segments allowed in addition to twice the number that the file bytes would fill.
/// Beyond that the oldest segment is compacted, so that small segments do not accumulate.
const SPARE_SEGMENTS: u64 = 16;

/// When to compact the oldest segment.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CompactionPolicy {
    /// If it has no live records, or if space amplification or the number of segments is above its
    /// limit.
    WhenWorthwhile,
    /// Also if any file bytes are not live.
    Always,
}

/// The compaction of one segment, in progress.
pub(super) struct CompactionRun {
    segment: u64,
    image: Vec<u8>,
    /// Offset in the image at which the next step begins.
    position: usize,
    /// Set when all live records are copied: the segment may be removed when the frame with this
    /// sequence number is durable.
    copied_until_seq: Option<u64>,
}

impl<D: Disk> Engine<D> {
    /// Whether compaction is due or in progress.
    pub fn needs_compaction(&self) -> bool {
        self.compaction.is_some()
            || self
                .next_segment_to_compact(CompactionPolicy::WhenWorthwhile)
                .is_some()
    }

    /// Does one bounded step of compaction: copies live records of the oldest segment to the active
    /// one or, once all copies are durable, removes the segment. Copies become durable with the
    /// next [`Engine::commit`].
    ///
    /// # Errors
    ///
    /// An I/O error; the segment then stays, and its compaction begins anew.
    pub fn compact_step(&mut self) -> io::Result<()> {
        self.run_step(CompactionPolicy::WhenWorthwhile)
    }

    /// Compacts the whole store, regardless of cost, until all segments but the last have live
    /// records only. Stops early at a damaged segment.
    ///
    /// # Errors
    ///
    /// An I/O error.
    pub fn compact(&mut self) -> io::Result<()> {
        let end = self.next_segment;
        if self.index.live_bytes() < self.file_bytes() {
            // Frames written from now on go to a new segment, which is not compacted here.
            if let Some(active) = self.active {
                self.seal(active);
            }
        }
        while self.compaction.is_some()
            || self
                .next_segment_to_compact(CompactionPolicy::Always)
                .is_some_and(|number| number < end && !self.damaged.contains(&number))
        {
            self.run_step(CompactionPolicy::Always)?;
            if !self.buffer.is_empty() {
                self.commit()?;
            }
        }
        Ok(())
    }

    /// The segment to compact next, if compaction is due: one that needs a rewrite, or else the
    /// oldest.
    fn next_segment_to_compact(&self, policy: CompactionPolicy) -> Option<u64> {
        let (&oldest, segment) = self.segments.iter().next()?;
        let needs_rewrite = self
            .segments
            .iter()
            .find(|(number, s)| s.needs_rewrite && Some(**number) != self.active);
        if let Some((&number, _)) = needs_rewrite {
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
            || (policy == CompactionPolicy::Always && file_bytes > live_bytes);
        is_due.then_some(oldest)
    }

    fn run_step(&mut self, policy: CompactionPolicy) -> io::Result<()> {
        let Some(mut run) = self.compaction.take() else {
            return self.begin_compaction(policy);
        };
        if let Some(seq) = run.copied_until_seq {
            if seq <= self.durable_seq {
                return self.finish_compaction(run.segment);
            }
            self.compaction = Some(run);
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
        self.compaction = Some(run);
        Ok(())
    }

    fn begin_compaction(&mut self, policy: CompactionPolicy) -> io::Result<()> {
        if let Some(segment) = self.next_segment_to_compact(policy) {
            self.compaction = Some(CompactionRun {
                segment,
                image: self.read_image(segment)?,
                position: HEADER_BYTES,
                copied_until_seq: None,
            });
        }
        Ok(())
    }

    /// Returns the sequence number that has to be durable before the segment may be removed. For
    /// the oldest segment, it is that of a new frame that marks the segment as obsolete, so that
    /// recovery can distinguish a removed file from a missing one.
    fn mark_copied(&mut self, number: u64, is_oldest: bool) -> u64 {
        if is_oldest {
            self.buffer_frame(&[Change::OldestSegment {
                segment: number + 1,
            }])
        } else {
            self.last_seq
        }
    }

    /// Copies a change of the segment that is being compacted, if it is still needed.
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
                    // Values of the key in older segments must not reappear.
                    (!is_oldest).then_some(Change::Delete { key })
                } else {
                    Some(change)
                }
            }
            // A delete is needed while an older segment may have a value of the key.
            Change::Delete { key } if !is_oldest && !self.contains_key(key) => Some(change),
            _ => None,
        };
        let Some(copy) = needed else {
            return;
        };
        // The copy is not needed if the buffer has a newer change of the same key.
        let overwritten = self
            .buffered_updates
            .iter()
            .any(|update| *update.key == *copy.key());
        if !overwritten {
            self.copied_bytes += copy.size() as u64;
            self.buffer_frame(&[copy]);
        }
    }

    /// Ends the compaction of a segment whose live records have been copied: removes it if it is
    /// the oldest.
    fn finish_compaction(&mut self, number: u64) -> io::Result<()> {
        let is_oldest = self.first_segment() == Some(number);
        let Some(segment) = self.segments.get_mut(&number) else {
            return Ok(());
        };
        if !is_oldest {
            // Its file stays, since recovery would report a gap between segments as lost frames. It
            // has no live records, so that it is removed without copying once it is the oldest.
            segment.needs_rewrite = false;
            return Ok(());
        }
        // A segment with live records that can't be read from any copy is kept.
        if segment.live_bytes > 0 && self.damaged.contains(&number) {
            return Ok(());
        }
        self.remove_files(number)?;
        self.segments.remove(&number);
        Ok(())
    }
}
