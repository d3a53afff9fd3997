package org.fulmargap.entry;

import java.nio.charset.StandardCharsets;

import org.fulmargap.fleet.FleetMember;
import org.fulmargap.platform.StoreClient;
import org.fulmargap.platform.StoreException;
import org.fulmargap.platform.StoreTopic;

/**
 * Writes the address of this VM to the platform's store on a separate thread, and again
 * each time the store has come back from an older copy, until the thread is interrupted.
 */
final class MemberRegistration implements Runnable {

	/**
	 * The delay before a write is repeated that failed or was acknowledged in an older
	 * history than the newest one, in milliseconds.
	 */
	private static final long RETRY_DELAY_MS = 500;

	private static final long NEVER = -1;

	private final StoreClient store;

	private final FleetMember own;

	private long newestHistory;

	// The history of the store that has the address.
	private long writtenIn = NEVER;

	MemberRegistration(StoreClient store, FleetMember own) {
		this.store = store;
		this.own = own;
	}

	/**
	 * Makes the address be written if a history of the store lacks it.
	 * @param history the number of the history
	 */
	synchronized void historyKnown(long history) {
		this.newestHistory = Math.max(this.newestHistory, history);
		notifyAll();
	}

	/**
	 * Waits until the address has been written for the first time.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	synchronized void awaitFirst() throws InterruptedException {
		while (this.writtenIn == NEVER) {
			wait();
		}
	}

	@Override
	public void run() {
		try {
			while (true) {
				awaitDue();
				if (!write()) {
					Thread.sleep(RETRY_DELAY_MS);
				}
			}
		}
		catch (InterruptedException ex) {
			// The process is stopping.
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void awaitDue() throws InterruptedException {
		while (this.writtenIn >= this.newestHistory) {
			wait();
		}
	}

	private synchronized boolean written(long history) {
		this.writtenIn = history;
		notifyAll();
		return history >= this.newestHistory;
	}

	private boolean write() {
		try {
			byte[] text = this.own.toText().getBytes(StandardCharsets.UTF_8);
			long history = this.store.put(StoreTopic.MEMBERS, this.own.name(), text);
			EventLog.state("registered")
				.with("vm", this.own.name())
				.with("address", this.own.address())
				.with("history", history)
				.write();
			return written(history);
		}
		catch (StoreException ex) {
			EventLog.state("register_failed").with("type", ex.type()).with("cause", ex.getMessage()).write();
			return false;
		}
	}

}
