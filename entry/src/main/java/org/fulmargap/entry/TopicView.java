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
 * The newest record of each key of a topic, whether it came from the store or from a
 * peer. Records that are older than what is known are passed over. Confined to the event
 * loop.
 */
final class TopicView {

	private final Map<String, KeyedRecord> newest = new HashMap<>();

	private long nextOffset = -1;

	/**
	 * Takes over a page.
	 * @param page the page
	 * @return the page with only those records that are news
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
		this.nextOffset = Math.max(this.nextOffset, page.nextOffset());
		return new StorePage(fresh, page.nextOffset(), page.isComplete());
	}

	// A complete listing tells of keys that were dropped while records were missed.
	private void addRemovals(StorePage page, Set<String> listed, List<KeyedRecord> fresh) {
		for (KeyedRecord known : List.copyOf(this.newest.values())) {
			boolean dropped = !listed.contains(known.key()) && !known.isRemoval() && known.offset() < page.nextOffset();
			if (dropped) {
				KeyedRecord removal = new KeyedRecord(known.key(), new byte[0], page.nextOffset() - 1);
				this.newest.put(known.key(), removal);
				fresh.add(removal);
			}
		}
	}

	/**
	 * Returns the records from an offset on.
	 * @param from the first offset; a negative one for the newest record of each key
	 * @return the records
	 */
	StorePage since(long from) {
		List<KeyedRecord> records = new ArrayList<>();
		for (KeyedRecord record : this.newest.values()) {
			if (record.offset() >= from && !(from < 0 && record.isRemoval())) {
				records.add(record);
			}
		}
		records.sort(Comparator.comparingLong(KeyedRecord::offset));
		return new StorePage(records, this.nextOffset, from < 0);
	}

	/**
	 * Returns how far the topic is known.
	 * @return the offset after the newest record; -1 if nothing is known
	 */
	long nextOffset() {
		return this.nextOffset;
	}

}
