package org.burdocktray.version.routing;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * A directed graph with capacities and its maximum flow by Dinic's algorithm. Capacities
 * are whole numbers, so results are exact. Invariant: the flow of an edge is never
 * negative and never above its capacity. Thread safety: none, confined to one solver.
 */
final class FlowNetwork {

	/** A capacity that no sum of real capacities reaches. */
	static final long UNBOUNDED = Long.MAX_VALUE / 4;

	private static final int INITIAL_EDGES = 64;

	private static final int NONE = -1;

	private final int[] firstEdge;

	private int[] nextEdge = new int[INITIAL_EDGES];

	private int[] target = new int[INITIAL_EDGES];

	private long[] residual = new long[INITIAL_EDGES];

	private final int[] level;

	private final int[] cursor;

	private int edges;

	FlowNetwork(int nodes) {
		this.firstEdge = new int[nodes];
		Arrays.fill(this.firstEdge, NONE);
		this.level = new int[nodes];
		this.cursor = new int[nodes];
	}

	/**
	 * Adds an edge.
	 * @param from the node it leaves
	 * @param to the node it enters
	 * @param capacity the most flow it carries
	 * @return the number of the edge
	 */
	int addEdge(int from, int to, long capacity) {
		int edge = this.edges;
		append(from, to, capacity);
		append(to, from, 0);
		return edge;
	}

	/**
	 * Raises the capacity of an edge and keeps its flow.
	 * @param edge the number of the edge
	 * @param added what is added to the capacity
	 */
	void raiseCapacity(int edge, long added) {
		this.residual[edge] += added;
	}

	long flow(int edge) {
		return this.residual[edge ^ 1];
	}

	/**
	 * Augments the present flow to a maximum one.
	 * @param source the node the flow starts at
	 * @param sink the node the flow ends at
	 * @return what was added to the flow
	 */
	long augment(int source, int sink) {
		long added = 0;
		while (assignLevels(source, sink)) {
			System.arraycopy(this.firstEdge, 0, this.cursor, 0, this.cursor.length);
			long pushed = push(source, sink, UNBOUNDED);
			while (pushed > 0) {
				added += pushed;
				pushed = push(source, sink, UNBOUNDED);
			}
		}
		return added;
	}

	/**
	 * Whether a node is on the source's side of the minimum cut. Valid after
	 * {@link #augment}.
	 * @param node the node
	 * @return true when the residual graph reaches it from the source
	 */
	boolean isOnSourceSide(int node) {
		return this.level[node] != NONE;
	}

	private void append(int from, int to, long capacity) {
		if (this.edges == this.target.length) {
			int doubled = this.edges * 2;
			this.nextEdge = Arrays.copyOf(this.nextEdge, doubled);
			this.target = Arrays.copyOf(this.target, doubled);
			this.residual = Arrays.copyOf(this.residual, doubled);
		}
		this.target[this.edges] = to;
		this.residual[this.edges] = capacity;
		this.nextEdge[this.edges] = this.firstEdge[from];
		this.firstEdge[from] = this.edges;
		this.edges++;
	}

	private boolean assignLevels(int source, int sink) {
		Arrays.fill(this.level, NONE);
		this.level[source] = 0;
		ArrayDeque<Integer> queue = new ArrayDeque<>();
		queue.add(source);
		while (!queue.isEmpty()) {
			int node = queue.remove();
			for (int edge = this.firstEdge[node]; edge != NONE; edge = this.nextEdge[edge]) {
				int next = this.target[edge];
				if (this.residual[edge] > 0 && this.level[next] == NONE) {
					this.level[next] = this.level[node] + 1;
					queue.add(next);
				}
			}
		}
		return this.level[sink] != NONE;
	}

	private long push(int node, int sink, long limit) {
		if (node == sink) {
			return limit;
		}
		while (this.cursor[node] != NONE) {
			int edge = this.cursor[node];
			int next = this.target[edge];
			if (this.residual[edge] > 0 && this.level[next] == this.level[node] + 1) {
				long pushed = push(next, sink, Math.min(limit, this.residual[edge]));
				if (pushed > 0) {
					this.residual[edge] -= pushed;
					this.residual[edge ^ 1] += pushed;
					return pushed;
				}
			}
			this.cursor[node] = this.nextEdge[edge];
		}
		return 0;
	}

}
