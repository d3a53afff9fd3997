package org.fulmargap.batch;

import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Detects answers to stage calls that were delivered before. An endpoint may send an
 * answer a second time, late, on a connection that carries another call. Stage calls have
 * no identity, but each result has a new handle. The first handle of an answer is
 * remembered longer than the others, because a copy has all of them. Confined to one
 * thread.
 */
public final class RecentHandles {

	private final int capacity;

	private final Set<String> handles = new LinkedHashSet<>();

	private final Set<String> firstHandles = new LinkedHashSet<>();

	/**
	 * Creates an empty memory.
	 * @param capacity how many handles, and how many answers by their first handle, are
	 * remembered
	 */
	public RecentHandles(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive but is " + capacity);
		}
		this.capacity = capacity;
	}

	/**
	 * Adds the handles of an answer unless one of them is known or comes twice.
	 * @param answer the handles
	 * @return {@code false} if the answer is a copy of an earlier one or has a handle
	 * twice
	 */
	public boolean add(Collection<String> answer) {
		boolean repeated = new HashSet<>(answer).size() < answer.size();
		if (repeated || answer.stream().anyMatch(this::isKnown)) {
			return false;
		}
		this.handles.addAll(answer);
		trim(this.handles);
		answer.stream().findFirst().ifPresent(this.firstHandles::add);
		trim(this.firstHandles);
		return true;
	}

	private boolean isKnown(String handle) {
		return this.handles.contains(handle) || this.firstHandles.contains(handle);
	}

	private void trim(Set<String> remembered) {
		for (Iterator<String> oldest = remembered.iterator(); remembered.size() > this.capacity;) {
			oldest.next();
			oldest.remove();
		}
	}

}
