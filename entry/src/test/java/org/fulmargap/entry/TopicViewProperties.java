package org.fulmargap.entry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fulmargap.fleet.StorePosition;
import org.fulmargap.platform.KeyedRecord;
import org.fulmargap.platform.StorePage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against records of an older history of the store, and records that were removed,
 * which come back with a page that arrives late. A seed draws the histories, the pages
 * and their order.
 */
class TopicViewProperties {

	private static final int HISTORIES = 3;

	private static final int MAX_RECORDS = 8;

	private static final int PAGES = 12;

	private static final List<String> KEYS = List.of("a", "b", "c");

	private final TopicView view = new TopicView();

	@Property(seed = "851", tries = 2_000)
	void theViewIsThatOfItsPositionWhateverTheOrderOfPages(@ForAll long seed) {
		Random random = new Random(seed);
		List<List<KeyedRecord>> histories = histories(random);
		TopicView own = new TopicView();
		TopicView peer = new TopicView();
		for (int i = 0; i < PAGES; i++) {
			StorePosition before = own.position();
			deliver(own, (random.nextInt(3) == 0) ? relayed(peer, random) : read(histories, random));
			deliver(peer, read(histories, random));
			assertThat(own.position().compareTo(before)).isNotNegative();
			assertThat(values(own)).isEqualTo(expected(histories, own.position()));
		}
		int newest = HISTORIES;
		deliver(own, new Delivery(0, listing(histories, newest, histories.get(newest - 1).size())));
		Map<String, String> lasting = values(own);
		List<Delivery> late = new ArrayList<>();
		for (int i = 0; i < PAGES; i++) {
			late.add(read(histories, random));
		}
		Collections.shuffle(late, random);
		late.forEach((delivery) -> deliver(own, delivery));
		assertThat(values(own)).isEqualTo(lasting);
	}

	@Example
	void aListingThatArrivesLateDoesNotBringARemovedKeyBack() {
		KeyedRecord removed = new KeyedRecord("a", new byte[] { 1 }, 0);
		this.view.apply(new StorePage(1, List.of(), 2, true));
		this.view.apply(new StorePage(1, List.of(removed), 1, true));
		assertThat(this.view.listing().records()).isEmpty();
	}

	@Example
	void aListingThatArrivesLateDoesNotBringAKeyBackThatWasAddedAndRemovedUnseen() {
		KeyedRecord first = new KeyedRecord("a", new byte[] { 1 }, 0);
		KeyedRecord second = new KeyedRecord("a", new byte[] { 2 }, 2);
		this.view.apply(new StorePage(1, List.of(first), 1, true));
		this.view.apply(new StorePage(1, List.of(), 2, true));
		this.view.apply(new StorePage(1, List.of(), 4, true));
		this.view.apply(new StorePage(1, List.of(second), 3, true));
		assertThat(this.view.listing().records()).isEmpty();
	}

	// The records of each history; the offset of a record is its index.
	private static List<List<KeyedRecord>> histories(Random random) {
		List<List<KeyedRecord>> histories = new ArrayList<>();
		List<KeyedRecord> copy = List.of();
		for (int history = 1; history <= HISTORIES; history++) {
			List<KeyedRecord> records = new ArrayList<>(copy);
			for (int i = random.nextInt(MAX_RECORDS); i > 0; i--) {
				byte[] value = (random.nextInt(3) == 0) ? new byte[0] : new byte[] { (byte) history, (byte) i };
				records.add(new KeyedRecord(KEYS.get(random.nextInt(KEYS.size())), value, records.size()));
			}
			histories.add(records);
			copy = records.subList(0, random.nextInt(records.size() + 1));
		}
		return histories;
	}

	private static Delivery read(List<List<KeyedRecord>> histories, Random random) {
		int history = 1 + random.nextInt(HISTORIES);
		List<KeyedRecord> records = histories.get(history - 1);
		int end = random.nextInt(records.size() + 1);
		if (random.nextBoolean()) {
			return new Delivery(0, listing(histories, history, end));
		}
		int from = random.nextInt(end + 1);
		return new Delivery(from, new StorePage(history, records.subList(from, end), end, false));
	}

	private static StorePage listing(List<List<KeyedRecord>> histories, int history, int end) {
		return new StorePage(history, List.copyOf(newest(histories.get(history - 1), end).values()), end, true);
	}

	private static Map<String, KeyedRecord> newest(List<KeyedRecord> records, int end) {
		Map<String, KeyedRecord> newest = new TreeMap<>();
		records.subList(0, end).forEach((record) -> newest.put(record.key(), record));
		newest.values().removeIf(KeyedRecord::isRemoval);
		return newest;
	}

	// The peer may have read on or back since it was asked, and not have read at all.
	private static Delivery relayed(TopicView peer, Random random) {
		long from = random.nextInt(MAX_RECORDS) - 1;
		return new Delivery(from, peer.since(from));
	}

	// Applies a page as the VM does: not if records before it are missing.
	private static void deliver(TopicView view, Delivery delivery) {
		StorePage page = delivery.page;
		StorePosition from = new StorePosition(page.history(), delivery.from);
		boolean lacksRecords = !page.isComplete() && from.compareTo(view.position()) > 0;
		if (page.position().isRead() && !lacksRecords && view.accepts(page)) {
			view.apply(page);
		}
	}

	private static Map<String, String> values(TopicView view) {
		return texts(view.listing().records().stream().collect(Collectors.toMap(KeyedRecord::key, (record) -> record)));
	}

	private static Map<String, String> expected(List<List<KeyedRecord>> histories, StorePosition position) {
		if (!position.isRead()) {
			return Map.of();
		}
		return texts(newest(histories.get((int) position.history() - 1), (int) position.offset()));
	}

	private static Map<String, String> texts(Map<String, KeyedRecord> records) {
		Map<String, String> texts = new TreeMap<>();
		records.forEach(
				(key, record) -> texts.put(key, record.offset() + " " + List.of(record.value()[0], record.value()[1])));
		return texts;
	}

	private record Delivery(long from, StorePage page) {
	}

}
