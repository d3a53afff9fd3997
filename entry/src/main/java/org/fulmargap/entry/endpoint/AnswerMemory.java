package org.fulmargap.entry.endpoint;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the memory that all answers of endpoints hold together while they are received.
 * Beyond the limit, large answers of a stated length wait, all but the oldest, and large
 * answers without one are given up. Small answers always go on. Confined to the event
 * loop.
 */
public final class AnswerMemory {

	/** What all answers may hold together, in bytes. */
	private static final long MAX_TOTAL_BYTES = 16L << 20;

	/** Answers up to this size are small, in bytes. */
	private static final long SMALL_BYTES = 65_536;

	private final Set<Share> shares = new LinkedHashSet<>();

	private long usedBytes;

	/**
	 * Adds an answer that holds nothing yet.
	 * @param hasLength whether its length is stated
	 * @param listener hears when it has to wait and when it may go on
	 * @return its share of the memory
	 */
	public Share share(boolean hasLength, Listener listener) {
		Share share = new Share(hasLength, listener);
		this.shares.add(share);
		return share;
	}

	/**
	 * Returns what all answers hold.
	 * @return the number of bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

	private boolean isFull() {
		return this.usedBytes > MAX_TOTAL_BYTES;
	}

	private boolean isOldestOfItsKind(Share share) {
		return this.shares.stream()
			.filter((other) -> other.hasLength && other.isLarge())
			.findFirst()
			.orElse(share)
			.equals(share);
	}

	private void resumeWaiting() {
		for (Share share : List.copyOf(this.shares)) {
			if (share.waiting && (!isFull() || isOldestOfItsKind(share))) {
				share.waiting = false;
				share.listener.mayRead(true);
			}
		}
	}

	/**
	 * Hears whether an answer may be read.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handles a change.
		 * @param allowed {@code false} if no more of the answer must be read for now
		 */
		void mayRead(boolean allowed);

	}

	/**
	 * The memory that one answer holds.
	 */
	public final class Share implements AutoCloseable {

		private final boolean hasLength;

		private final Listener listener;

		private long bytes;

		private boolean waiting;

		private Share(boolean hasLength, Listener listener) {
			this.hasLength = hasLength;
			this.listener = listener;
		}

		private boolean isLarge() {
			return this.bytes > SMALL_BYTES;
		}

		/**
		 * Records what the answer holds now.
		 * @param newBytes the number of bytes
		 * @return {@code false} if the answer must be given up
		 */
		public boolean hold(long newBytes) {
			if (!AnswerMemory.this.shares.contains(this)) {
				return true;
			}
			AnswerMemory.this.usedBytes += newBytes - this.bytes;
			this.bytes = newBytes;
			if (!isFull() || !isLarge()) {
				return true;
			}
			if (!this.hasLength) {
				return false;
			}
			if (!this.waiting && !isOldestOfItsKind(this)) {
				this.waiting = true;
				this.listener.mayRead(false);
			}
			return true;
		}

		/**
		 * Releases the memory. Answers that wait for it go on.
		 */
		@Override
		public void close() {
			if (AnswerMemory.this.shares.remove(this)) {
				AnswerMemory.this.usedBytes -= this.bytes;
				resumeWaiting();
			}
		}

	}

}
