package org.fulmargap.entry;

import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StorePage;
import org.fulmargap.platform.StoreTopic;
import org.fulmargap.platform.standin.CallerWire;
import org.fulmargap.platform.standin.StoreStandIn;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against VMs that stay behind the store because they repeat a read in vain.
 */
class StoreTailTests {

	private static final long WAIT_MS = 100;

	private static final long INTERVAL_MS = 10;

	private static final long PAGE_TIMEOUT_MS = 5_000;

	private final BlockingQueue<StorePage> pages = new LinkedBlockingQueue<>();

	@Test
	void aTopicIsListedAnewAfterAPageOfOtherOffsets() throws Exception {
		try (StoreStandIn store = new StoreStandIn(); StoreClient client = new StoreClient(store.address())) {
			store.put(CallerWire.ENDPOINT_TOPIC, "i-1", "value");
			Thread tail = new Thread(tail(client));
			tail.start();
			assertThat(nextPage().isComplete()).isTrue();
			store.answerNextRead(ByteBuffer.allocate(2 * Long.BYTES).putLong(0).putLong(0).array());
			store.put(CallerWire.ENDPOINT_TOPIC, "i-2", "value");
			StorePage page = nextPage();
			while (!page.isComplete()) {
				page = nextPage();
			}
			assertThat(page.nextOffset()).isEqualTo(2);
			tail.interrupt();
			tail.join();
		}
	}

	private StorePage nextPage() throws InterruptedException {
		StorePage page = this.pages.poll(PAGE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		assertThat(page).isNotNull();
		return page;
	}

	private StoreTail tail(StoreClient client) {
		return new StoreTail(client, StoreTopic.ENDPOINTS, LongPollWait.unbounded(WAIT_MS), INTERVAL_MS,
				System::currentTimeMillis, (page, origin) -> this.pages.add(page), () -> {
				}, new AlwaysNeeded());
	}

	private static final class AlwaysNeeded implements StoreTail.Need {

		@Override
		public boolean isNeeded() {
			return true;
		}

		@Override
		public long nextOffset() {
			return -1;
		}

		@Override
		public long maxRetryDelayMs() {
			return WAIT_MS;
		}

	}

}
