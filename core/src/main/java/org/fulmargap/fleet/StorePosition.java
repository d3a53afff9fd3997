package org.fulmargap.fleet;

import java.util.Comparator;

/**
 * Up to where a topic of the platform's store is known. Positions of a later history come
 * after all positions of an earlier one, whatever their offsets, because a store that
 * comes back from an older copy gives offsets out again.
 *
 * @param history the number of the store's history; 0 if the store numbers none, or if a
 * VM with a program that knows no histories has named the position
 * @param offset the offset from which the topic was not read; -1 if it was not read at
 * all
 */
public record StorePosition(long history, long offset) implements Comparable<StorePosition> {

	/** The position of a topic that was not read. */
	public static final StorePosition UNREAD = new StorePosition(0, -1);

	private static final Comparator<StorePosition> ORDER = Comparator.comparingLong(StorePosition::history)
		.thenComparingLong(StorePosition::offset);

	/**
	 * Returns whether the topic was read.
	 * @return {@code true} if it was
	 */
	public boolean isRead() {
		return this.offset >= 0;
	}

	/**
	 * Returns the later one of two positions.
	 * @param other the other position
	 * @return this position or the other one
	 */
	public StorePosition later(StorePosition other) {
		return (compareTo(other) >= 0) ? this : other;
	}

	@Override
	public int compareTo(StorePosition other) {
		return ORDER.compare(this, other);
	}

}
