package org.fulmargap.ledger;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * The platform's list of live and leaving VMs. The list may be late.
 */
public interface VmDirectory {

	/**
	 * Reads the list.
	 * @return the state of each listed VM by name
	 * @throws IOException if the platform did not answer
	 */
	Map<String, VmState> read() throws IOException;

	/**
	 * State of a VM.
	 */
	enum VmState {

		/** The VM runs. */
		@JsonProperty("live")
		LIVE,

		/** The VM will be stopped soon. */
		@JsonProperty("leaving")
		LEAVING;

		/**
		 * Tells whether endpoints on the VM may get new work.
		 * @return {@code true} for live VMs
		 */
		public boolean takesNewWork() {
			return this == LIVE;
		}

	}

}
