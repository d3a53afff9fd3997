package org.fulmargap.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reference implementation of weighted deficit round robin, simple and not optimized.
 */
final class NaiveFairScheduler {

	private final List<Item> waiting = new ArrayList<>();

	private final List<String> order = new ArrayList<>();

	private final Map<String, Long> deficits = new HashMap<>();

	private final List<String> withQuantum = new ArrayList<>();

	int running;

	int slots;

	NaiveFairScheduler(int slots) {
		this.slots = slots;
	}

	private static String queue(Item item) {
		return item.priority() + ":" + item.account();
	}

	private List<Item> items(String queue) {
		return this.waiting.stream().filter((item) -> queue(item).equals(queue)).toList();
	}

	List<Integer> arrive(Item item) {
		if (!this.order.contains(queue(item))) {
			this.order.add(queue(item));
		}
		this.waiting.add(item);
		return fill();
	}

	List<Integer> fill() {
		List<Integer> started = new ArrayList<>();
		while (this.running < this.slots && !this.waiting.isEmpty()) {
			started.add(takeNext().id());
			this.running++;
		}
		return started;
	}

	private Item takeNext() {
		int highest = this.waiting.stream().mapToInt(Item::priority).max().getAsInt();
		while (true) {
			String queue = this.order.stream().filter((name) -> name.startsWith(highest + ":")).findFirst().get();
			Item head = items(queue).get(0);
			if (!this.withQuantum.contains(queue)) {
				this.withQuantum.add(queue);
				this.deficits.merge(queue, FairAdmission.QUANTUM_MS * head.weight(), Long::sum);
			}
			if (this.deficits.get(queue) >= head.cost()) {
				this.deficits.merge(queue, -head.cost(), Long::sum);
				this.waiting.remove(head);
				if (items(queue).isEmpty()) {
					this.order.remove(queue);
					this.deficits.remove(queue);
					this.withQuantum.remove(queue);
				}
				return head;
			}
			this.withQuantum.remove(queue);
			this.order.remove(queue);
			this.order.add(queue);
		}
	}

	record Item(int id, int priority, String account, int weight, long cost) {
	}

}
