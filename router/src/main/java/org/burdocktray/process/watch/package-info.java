/**
 * Lets few VMs watch the platform's store for the others: which VM watches, where a VM
 * gets objects from, what watchers keep, and how old a confirmation is. What comes from
 * another VM never counts for longer than the store's own answer.
 */
package org.burdocktray.process.watch;
