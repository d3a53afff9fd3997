package org.fulmargap.server;

import java.util.Collection;
import java.util.List;

import org.fulmargap.ledger.MemberDirectory;
import org.fulmargap.membership.Hello;
import org.fulmargap.membership.Incarnation;
import org.fulmargap.membership.MembershipLimits;
import org.fulmargap.membership.MembershipView;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that cannot read the log and reports a request as not run without
 * querying a peer that joined in the meantime.
 */
class KnownMembersTests {

	private static final long NOW_MS = 1_000_000;

	private final MembershipView view = new MembershipView(hello("a"), MembershipLimits.DEFAULTS, NOW_MS);

	private static Hello hello(String vm) {
		return new Hello(vm, new Incarnation(vm, NOW_MS), "d1", Hello.PROTOCOL_VERSION, "127.0.0.1:1");
	}

	private Collection<String> vms(List<String> joined) {
		return new KnownMembers(new MemberDirectory() {

			@Override
			public Collection<String> vms() {
				return joined;
			}

			@Override
			public long lastRemovalAtMs() {
				return Long.MIN_VALUE;
			}

		}, this.view, () -> NOW_MS).vms();
	}

	@Nested
	class Names {

		@Test
		void includeAPeerThatTheStreamDoesNotList() {
			KnownMembersTests.this.view.receiveHello(hello("c"), NOW_MS);
			assertThat(vms(List.of("a", "b"))).contains("a", "b", "c");
		}

		@Test
		void areEmptyWhileTheMembersAreUnknown() {
			KnownMembersTests.this.view.receiveHello(hello("c"), NOW_MS);
			assertThat(vms(List.of())).isEmpty();
		}

	}

}
