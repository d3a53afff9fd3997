package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.fleet.StorePosition;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;

/**
 * The newest record of each key of a topic, from the store or from peers. A record is
 * ignored if a newer one of its key is known. When the store has come back from an older
 * copy, a complete listing of its new history replaces the records; the keys that it
 * lacks stay unconfirmed until they are written again or dropped. Confined to the event
 * loop.
 */
final class TopicView {

	/** Valid in no topic, and no removal, which has an empty value. */
	private static final byte[] UNREADABLE = { 0 };

	private final Map<String, KeyedRecord> newest = new HashMap<>();

	// Keys that an earlier history had and the current one lacks.
	private final Set<String> unconfirmed = new HashSet<>();

	private StorePosition position = StorePosition.UNREAD;

	// Removals before this offset are not known.
	private long removalsFrom = Long.MAX_VALUE;

	/**
	 * Returns whether a page can be applied.
	 * @param page the page
	 * @return {@code false} if it is of an earlier history of the store than the known
	 * one, or names none, or if it is of a later one and not a complete listing
	 */
	boolean accepts(StorePage page) {
		long known = this.position.history();
		return page.history() == known || (page.history() > known && page.isComplete());
	}

	/**
	 * Applies a page.
	 * @param page an accepted page
	 * @return the records that were not known, with removals of the keys that a complete
	 * listing lacks
	 * @throws IllegalArgumentException if the page is not accepted
	 */
	StorePage apply(StorePage page) {
		if (!accepts(page)) {
			throw new IllegalArgumentException("a page of history " + page.history() + " after " + this.position);
		}
		if (page.history() > this.position.history()) {
			startHistory(page.history());
		}
		List<KeyedRecord> fresh = new ArrayList<>();
		Set<String> listed = new HashSet<>();
		for (KeyedRecord record : page.records()) {
			listed.add(record.key());
			KeyedRecord known = this.newest.get(record.key());
			// What was written before the position is known, also that it was removed.
			boolean newer = record.offset() >= this.position.offset()
					&& (known == null || record.offset() > known.offset());
			if (newer) {
				this.newest.put(record.key(), record);
				fresh.add(record);
			}
		}
		this.unconfirmed.removeAll(listed);
		if (page.isComplete()) {
			addRemovals(page, listed, fresh);
		}
		if (page.isComplete() && page.nextOffset() > this.position.offset()) {
			// Keys that were added and removed since the position aren't known.
			this.removalsFrom = page.nextOffset();
		}
		else if (!this.position.isRead()) {
			this.removalsFrom = 0;
		}
		this.position = this.position.later(new StorePosition(this.position.history(), page.nextOffset()));
		return new StorePage(this.position.history(), fresh, page.nextOffset(), page.isComplete());
	}

	private void startHistory(long history) {
		for (KeyedRecord known : this.newest.values()) {
			if (!known.isRemoval()) {
				this.unconfirmed.add(known.key());
			}
		}
		this.newest.clear();
		this.position = new StorePosition(history, StorePosition.UNREAD.offset());
	}

	/**
	 * Returns the keys that an earlier history had and the current one lacks.
	 * @return the keys
	 */
	Set<String> unconfirmed() {
		return Set.copyOf(this.unconfirmed);
	}

	/**
	 * Drops the unconfirmed keys.
	 * @return a removal of each of them
	 */
	List<KeyedRecord> dropUnconfirmed() {
		List<KeyedRecord> removals = new ArrayList<>();
		for (String key : this.unconfirmed) {
			removals.add(new KeyedRecord(key, new byte[0], this.position.offset() - 1));
		}
		this.unconfirmed.clear();
		return removals;
	}

	// Adds removals of keys that a complete listing lacks: their removal was missed.
	private void addRemovals(StorePage page, Set<String> listed, List<KeyedRecord> fresh) {
		for (KeyedRecord known : List.copyOf(this.newest.values())) {
			boolean removed = !listed.contains(known.key()) && !known.isRemoval() && known.offset() < page.nextOffset();
			if (removed) {
				KeyedRecord removal = new KeyedRecord(known.key(), new byte[0], page.nextOffset() - 1);
				this.newest.put(known.key(), removal);
				fresh.add(removal);
			}
		}
	}

	/**
	 * Keeps a mark of one byte in place of the value of a record that can't be read, so
	 * that such records take little memory here and in messages to peers.
	 * @param refused the record
	 */
	void dropValue(KeyedRecord refused) {
		this.newest.computeIfPresent(refused.key(), (key, known) -> (known.offset() == refused.offset())
				? new KeyedRecord(key, UNREADABLE.clone(), known.offset()) : known);
	}

	/**
	 * Returns the newest record of each key whose offset is not below the given one, in
	 * the order of the offsets. The page is a complete one without removals if this view
	 * doesn't know all removals from that offset on.
	 * @param from the first offset, in the current history
	 * @return the records
	 */
	StorePage since(long from) {
		boolean complete = from < this.removalsFrom;
		List<KeyedRecord> records = new ArrayList<>();
		for (KeyedRecord record : this.newest.values()) {
			if ((complete) ? !record.isRemoval() : record.offset() >= from) {
				records.add(record);
			}
		}
		records.sort(Comparator.comparingLong(KeyedRecord::offset));
		return new StorePage(this.position.history(), records, this.position.offset(), complete);
	}

	/**
	 * Returns the complete listing of the current history.
	 * @return a page without removals
	 */
	StorePage listing() {
		return since(StorePosition.UNREAD.offset());
	}

	/**
	 * Returns up to where the topic was read.
	 * @return the position
	 */
	StorePosition position() {
		return this.position;
	}

}
