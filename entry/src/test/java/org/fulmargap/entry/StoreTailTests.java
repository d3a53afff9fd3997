package org.fulmargap.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
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

	private static StoreTail.Need always() {
		return new StoreTail.Need() {

			@Override
			public boolean isNeeded() {
				return true;
			}

			@Override
			public long nextOffset() {
				return 0;
			}

			@Override
			public long maxRetryDelayMs() {
				return INTERVAL_MS;
			}

		};
	}

	@Test
	void pagesOfABacklogAreReadWithoutAPause() throws Exception {
		List<StorePage> pages = new CopyOnWriteArrayList<>();
		try (StoreStandIn store = new StoreStandIn(); StoreClient client = new StoreClient(store.address())) {
			for (int i = 0; i < VERSIONS; i++) {
				store.put("keyed.op", "config", "x".repeat(VERSION_BYTES));
			}
			Thread thread = new Thread(new StoreTail(client, StoreTopic.OPERATOR, LongPollWait.unbounded(1_000),
					INTERVAL_MS, () -> System.nanoTime() / 1_000_000, pages::add, () -> {
					}, always()));
			thread.start();
			try {
				Installation.await(() -> !pages.isEmpty() && pages.get(pages.size() - 1).nextOffset() == VERSIONS);
				assertThat(pages).hasSizeGreaterThan(2);
			}
			finally {
				thread.interrupt();
				thread.join();
			}
			assertThat(store.calls()).isEqualTo(pages.size());
		}
	}

}
