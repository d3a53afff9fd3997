/**
 * The operators' configuration in force: routes, services, client accounts and limits.
 */
package org.fulmargap.catalog;
