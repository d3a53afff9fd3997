/**
 * Selection of the endpoint for each attempt.
 */
package org.fulmargap.routing;
