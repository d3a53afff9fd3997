package org.fulmargap.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.fulmargap.fleet.StorePosition;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link StoreTail} with a stand-in of the store.
 */
class StoreTailTests {

	private static final long INTERVAL_MS = 60_000;

	private static final int VERSIONS = 12;

	private static final int VERSION_BYTES = 300_000;

	private static StoreTail.Need from(long offset) {
		return new StoreTail.Need() {

			@Override
			public boolean isNeeded() {
				return true;
			}

			@Override
			public StorePosition position() {
				return new StorePosition(1, offset);
			}

			@Override
			public long maxRetryDelayMs() {
				return INTERVAL_MS;
			}

		};
	}

	private final List<StorePage> pages = new CopyOnWriteArrayList<>();

	private void readUntil(StoreStandIn store, long from, BooleanSupplier done) throws InterruptedException {
		try (StoreClient client = new StoreClient(store.address())) {
			Thread thread = new Thread(new StoreTail(client, StoreTopic.OPERATOR, LongPollWait.unbounded(1_000),
					INTERVAL_MS, () -> System.nanoTime() / 1_000_000, (page, origin) -> this.pages.add(page), () -> {
					}, from(from)));
			thread.start();
			try {
				Installation.await(done);
			}
			finally {
				thread.interrupt();
				thread.join();
			}
		}
	}

	private boolean isRead(long nextOffset) {
		return !this.pages.isEmpty() && this.pages.get(this.pages.size() - 1).nextOffset() == nextOffset;
	}

	@Test
	void pagesOfABacklogAreReadWithoutAPause() throws Exception {
		try (StoreStandIn store = new StoreStandIn()) {
			for (int i = 0; i < VERSIONS; i++) {
				store.put(CallerWire.OPERATOR_TOPIC, "config", "x".repeat(VERSION_BYTES));
			}
			readUntil(store, 0, () -> isRead(VERSIONS));
			assertThat(this.pages).hasSizeGreaterThan(2);
			assertThat(store.calls()).isEqualTo(this.pages.size());
		}
	}

	@Test
	void aTopicIsListedAgainAfterAPageOfOtherOffsets() throws Exception {
		try (StoreStandIn store = new StoreStandIn()) {
			store.put(CallerWire.OPERATOR_TOPIC, "config", "newest");
			store.answerNextRead(new byte[2 * Long.BYTES]);
			readUntil(store, 1, () -> isRead(1));
			assertThat(this.pages.get(0).isComplete()).isTrue();
		}
	}

	@Test
	void aTopicThatEndsBeforeTheKnownOffsetIsListedAgain() throws Exception {
		try (StoreStandIn store = new StoreStandIn()) {
			store.put(CallerWire.OPERATOR_TOPIC, "config", "newest");
			readUntil(store, 5, () -> isRead(1));
			assertThat(this.pages.get(0).isComplete()).isTrue();
			assertThat(this.pages.get(0).records()).hasSize(1);
		}
	}

}
