package org.fulmargap.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Receives the platform's signals, and keeps those that arrive before the process can
 * handle them. Until it is registered, the JVM ends at each of them.
 */
final class ProcessSignals implements SignalHandler {

	private final Queue<String> early = new ArrayDeque<>();

	// The JVM leaves them to others, for example with the option -Xrs.
	private final List<String> unhandled = new ArrayList<>();

	private Receiver receiver;

	private ProcessSignals() {
	}

	/**
	 * Registers for the signals of the platform.
	 * @return the signals from now on
	 */
	static ProcessSignals register() {
		ProcessSignals signals = new ProcessSignals();
		for (String name : new String[] { "HUP", "TERM", "INT" }) {
			signals.register(name);
		}
		return signals;
	}

	private void register(String name) {
		try {
			Signal.handle(new Signal(name), this);
		}
		catch (IllegalArgumentException ex) {
			this.unhandled.add(name);
		}
	}

	/**
	 * Returns the signals that can't be handled. The process ends at them without a
	 * drain.
	 * @return their names
	 */
	List<String> unhandled() {
		return List.copyOf(this.unhandled);
	}

	/**
	 * Hands over the signals that have arrived, and each later one on a thread of its
	 * own.
	 * @param newReceiver handles the signals
	 */
	void forwardTo(Receiver newReceiver) {
		synchronized (this) {
			this.receiver = newReceiver;
		}
		this.early.forEach(newReceiver::received);
	}

	@Override
	public void handle(Signal signal) {
		synchronized (this) {
			if (this.receiver == null) {
				this.early.add(signal.getName());
				return;
			}
		}
		this.receiver.received(signal.getName());
	}

	/**
	 * Handles signals.
	 */
	interface Receiver {

		/**
		 * Handles a signal.
		 * @param signal its name, for example {@code TERM}
		 */
		void received(String signal);

	}

}
