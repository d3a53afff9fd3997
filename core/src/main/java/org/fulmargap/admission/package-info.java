/**
 * Admission of requests, retry budgets and the division of deadlines over stages.
 */
package org.fulmargap.admission;
