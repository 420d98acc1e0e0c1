/**
 * Decisions on hedged requests: when a second run of a late request starts, and how many
 * there may be.
 */
package org.burdocktray.request.hedge;
