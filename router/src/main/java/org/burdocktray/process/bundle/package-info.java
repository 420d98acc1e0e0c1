/**
 * Life cycle of bundles: proposal, approval, rolling, and following the rolled bundles.
 */
package org.burdocktray.process.bundle;
