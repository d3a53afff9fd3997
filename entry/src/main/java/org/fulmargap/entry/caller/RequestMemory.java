package org.fulmargap.entry.caller;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the memory that the bodies of callers' requests hold together, from their first
 * byte to the end of their request. A large body of a stated length gets memory for all
 * of it or waits, so that bodies don't wait for each other half-way. An account may use
 * half of the memory while others have large bodies. Small bodies go on while a reserve
 * lasts. A body waits after the part with which it passed a limit. Confined to the event
 * loop.
 */
final class RequestMemory {

	/** What all bodies may hold together, in bytes. */
	static final long MAX_TOTAL_BYTES = 16L << 20;

	/** What the bodies of one account may hold together, in bytes. */
	static final long MAX_ACCOUNT_BYTES = MAX_TOTAL_BYTES / 2;

	/** What small bodies may hold beyond the limit of all, in bytes. */
	static final long SMALL_RESERVE_BYTES = 4L << 20;

	/** Bodies up to this size are small, in bytes. */
	static final long SMALL_BYTES = 16_384;

	// In the order in which their requests arrived.
	private final Set<Share> shares = new LinkedHashSet<>();

	private long usedBytes;

	/**
	 * Adds a body of which nothing has arrived.
	 * @param account what identifies the account; bodies without one share an empty text
	 * @param statedBytes the stated length in bytes; 0 if it is not known
	 * @param listener hears when the body has to wait and when it may go on
	 * @return its share of the memory
	 */
	Share share(String account, long statedBytes, Listener listener) {
		Share share = new Share(account, statedBytes, listener);
		this.shares.add(share);
		return share;
	}

	/**
	 * Returns what all bodies hold.
	 * @return the number of bytes
	 */
	long usedBytes() {
		return this.usedBytes;
	}

	private boolean mayRead(Share share) {
		if (!share.isLarge()) {
			return this.usedBytes <= MAX_TOTAL_BYTES + SMALL_RESERVE_BYTES;
		}
		return share.granted || fits(share) || isAlone(share);
	}

	private boolean fits(Share share) {
		long restBytes = Math.max(0, share.statedBytes - share.bytes);
		return this.usedBytes + restBytes <= MAX_TOTAL_BYTES
				&& accountBytes(share.account) + restBytes <= maxAccountBytes(share.account);
	}

	private long maxAccountBytes(String account) {
		boolean others = this.shares.stream().anyMatch((share) -> share.isLarge() && !share.account.equals(account));
		return (others) ? MAX_ACCOUNT_BYTES : MAX_TOTAL_BYTES;
	}

	private long accountBytes(String account) {
		return this.shares.stream()
			.filter((share) -> share.account.equals(account))
			.mapToLong((share) -> share.bytes)
			.sum();
	}

	// A body that never fits goes on when it is the oldest large one and no other has
	// memory that it will release.
	private boolean isAlone(Share share) {
		List<Share> large = this.shares.stream().filter(Share::isLarge).toList();
		return large.get(0).equals(share)
				&& large.stream().noneMatch((other) -> !other.equals(share) && (other.granted || other.whole));
	}

	private void resumeWaiting() {
		for (Share share : List.copyOf(this.shares)) {
			if (share.waiting && mayRead(share)) {
				share.waiting = false;
				share.grant();
				share.listener.mayRead(true);
			}
		}
	}

	/**
	 * Hears whether a body may be read.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Handles a change.
		 * @param allowed {@code false} if no more of the body must be read for now
		 */
		void mayRead(boolean allowed);

	}

	/**
	 * The memory that one body holds.
	 */
	final class Share implements AutoCloseable {

		private final String account;

		private final long statedBytes;

		private final Listener listener;

		// What has arrived, or what was granted.
		private long bytes;

		private long receivedBytes;

		private boolean granted;

		private boolean whole;

		private boolean waiting;

		private Share(String account, long statedBytes, Listener listener) {
			this.account = account;
			this.statedBytes = statedBytes;
			this.listener = listener;
		}

		private boolean isLarge() {
			return this.bytes > SMALL_BYTES;
		}

		/**
		 * Adds a part that has arrived.
		 * @param partBytes its size in bytes
		 */
		void add(long partBytes) {
			if (!RequestMemory.this.shares.contains(this)) {
				return;
			}
			this.receivedBytes += partBytes;
			hold(this.receivedBytes);
			if (this.waiting) {
				return;
			}
			if (mayRead(this)) {
				grant();
			}
			else {
				this.waiting = true;
				this.listener.mayRead(false);
			}
		}

		private void grant() {
			if (isLarge() && this.statedBytes > 0) {
				this.granted = true;
				hold(this.statedBytes);
			}
		}

		private void hold(long newBytes) {
			if (newBytes > this.bytes) {
				RequestMemory.this.usedBytes += newBytes - this.bytes;
				this.bytes = newBytes;
			}
		}

		/**
		 * Records that the body is whole. It holds its memory until the end of its
		 * request.
		 */
		void whole() {
			this.whole = true;
			if (this.waiting) {
				this.waiting = false;
				this.listener.mayRead(true);
			}
		}

		/**
		 * Returns what has arrived.
		 * @return the number of bytes
		 */
		long receivedBytes() {
			return this.receivedBytes;
		}

		/**
		 * Releases the memory. Bodies that wait for it go on.
		 */
		@Override
		public void close() {
			if (RequestMemory.this.shares.remove(this)) {
				RequestMemory.this.usedBytes -= this.bytes;
				resumeWaiting();
			}
		}

	}

}
