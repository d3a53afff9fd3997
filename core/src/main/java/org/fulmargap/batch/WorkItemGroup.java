package org.fulmargap.batch;

import java.util.ArrayList;
import java.util.List;

import org.fulmargap.placement.Endpoint;

/**
 * The waiting work items of one stage of one request. They share a call if possible: the
 * request needs all of them to proceed, and the results of the first ones occupy space
 * until the last one is done.
 *
 * @param items the work items, at least one
 */
record WorkItemGroup(List<WorkItem> items) {

	/**
	 * Groups consecutive work items of the same stage and request.
	 * @param ordered the work items in the order of urgency
	 * @return the groups in that order
	 */
	static List<WorkItemGroup> of(List<WorkItem> ordered) {
		List<WorkItemGroup> groups = new ArrayList<>();
		for (WorkItem item : ordered) {
			WorkItemGroup last = (groups.isEmpty()) ? null : groups.get(groups.size() - 1);
			if (last != null && last.includes(item)) {
				last.items.add(item);
			}
			else {
				groups.add(new WorkItemGroup(new ArrayList<>(List.of(item))));
			}
		}
		return groups;
	}

	private boolean includes(WorkItem item) {
		return first().stage() == item.stage() && first().attemptId().equals(item.attemptId());
	}

	WorkItem first() {
		return this.items.get(0);
	}

	long resultBytes() {
		return this.items.stream().mapToLong(WorkItem::resultBytes).sum();
	}

	boolean isLocal(Endpoint endpoint) {
		return first().isLocal(endpoint.record().failureDomain());
	}

	/**
	 * Returns the part of the group that fits into one call.
	 * @param maxItems the highest number of work items in a call
	 * @param maxBytes the space for results at an endpoint without any, in bytes
	 * @return the first work items of the group, at least one
	 */
	WorkItemGroup limitedTo(int maxItems, long maxBytes) {
		List<WorkItem> part = new ArrayList<>();
		long bytes = 0;
		for (WorkItem item : this.items) {
			bytes += item.resultBytes();
			if (!part.isEmpty() && (part.size() == maxItems || bytes > maxBytes)) {
				break;
			}
			part.add(item);
		}
		return new WorkItemGroup(part);
	}

}
