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
 * Guards against a refusal as not run by a VM that cannot read the log and does not ask a
 * peer that joined meanwhile.
 */
class KnownMembersTests {

	private static final long NOW_MS = 1_000_000;

	private final MembershipView heard = new MembershipView(hello("a"), MembershipLimits.DEFAULTS, NOW_MS);

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

		}, this.heard, () -> NOW_MS).vms();
	}

	@Nested
	class Names {

		@Test
		void includeAPeerThatTheStreamDoesNotListYet() {
			KnownMembersTests.this.heard.receiveHello(hello("c"), NOW_MS);
			assertThat(vms(List.of("a", "b"))).contains("a", "b", "c");
		}

		@Test
		void areEmptyWhileTheMembersAreNotKnown() {
			KnownMembersTests.this.heard.receiveHello(hello("c"), NOW_MS);
			assertThat(vms(List.of())).isEmpty();
		}

	}

}
