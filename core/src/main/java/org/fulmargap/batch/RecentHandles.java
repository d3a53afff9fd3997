package org.fulmargap.batch;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Detects answers to stage calls that were delivered before. An endpoint may send an
 * answer a second time, late, on a connection that carries the next call. Stage calls
 * have no identity, but each result has a new handle. Confined to one thread.
 */
public final class RecentHandles {

	private final int capacity;

	private final Set<String> handles = new LinkedHashSet<>();

	/**
	 * Creates an empty memory.
	 * @param capacity how many handles are remembered
	 */
	public RecentHandles(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive but is " + capacity);
		}
		this.capacity = capacity;
	}

	/**
	 * Adds the handles of an answer unless one of them is known.
	 * @param answer the handles
	 * @return {@code false} if the answer is a copy of an earlier one
	 */
	public boolean add(Collection<String> answer) {
		for (String handle : answer) {
			if (this.handles.contains(handle)) {
				return false;
			}
		}
		this.handles.addAll(answer);
		for (Iterator<String> oldest = this.handles.iterator(); this.handles.size() > this.capacity;) {
			oldest.next();
			oldest.remove();
		}
		return true;
	}

}
