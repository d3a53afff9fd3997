package org.fulmargap.catalog;

/**
 * A client account.
 *
 * @param name the name of the account, which is sent to endpoints
 * @param priority the priority that overrides that of the route, or -1 for none; 0 is the
 * most urgent
 */
public record ClientAccount(String name, int priority) {
}
