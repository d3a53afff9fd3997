package org.fulmargap.catalog;

/**
 * A client account.
 *
 * @param name the name that endpoints see
 * @param priority the rank that takes precedence over the route's, or -1 for none
 */
public record ClientAccount(String name, int priority) {
}
