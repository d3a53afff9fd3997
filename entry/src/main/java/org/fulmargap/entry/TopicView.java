package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;

/**
 * The newest record of each key of a topic, from the store or from peers. A record is
 * ignored if a newer one of its key is known. Confined to the event loop.
 */
final class TopicView {

	/** Valid in no topic, and no removal, which has an empty value. */
	private static final byte[] UNREADABLE = { 0 };

	private final Map<String, KeyedRecord> newest = new HashMap<>();

	private long nextOffset = -1;

	// Removals before this offset are not known.
	private long removalsFrom = Long.MAX_VALUE;

	/**
	 * Applies a page.
	 * @param page the page
	 * @return the records that were not known, with removals of the keys that a complete
	 * listing lacks
	 */
	StorePage apply(StorePage page) {
		List<KeyedRecord> fresh = new ArrayList<>();
		Set<String> listed = new HashSet<>();
		for (KeyedRecord record : page.records()) {
			listed.add(record.key());
			KeyedRecord known = this.newest.get(record.key());
			if (known == null || record.offset() > known.offset()) {
				this.newest.put(record.key(), record);
				fresh.add(record);
			}
		}
		if (page.isComplete()) {
			addRemovals(page, listed, fresh);
		}
		if (this.nextOffset < 0) {
			this.removalsFrom = (page.isComplete()) ? page.nextOffset() : 0;
		}
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		return new StorePage(fresh, page.nextOffset(), page.isComplete());
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
	 * @param from the first offset
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
		return new StorePage(records, this.nextOffset, complete);
	}

	/**
	 * Returns the offset from which the topic has not been read.
	 * @return the offset; -1 before the first page
	 */
	long nextOffset() {
		return this.nextOffset;
	}

}
