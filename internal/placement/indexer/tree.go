package indexer

// tree is a treap of workers in order of free processor time. Each node knows the largest amount of
// free memory below it, so that workers with enough of both are found in logarithmic time.
type tree[T any] struct {
	root *node[T]
}

type node[T any] struct {
	value       T
	left, right *node[T]
	// ordinal breaks ties and gives the priority.
	ordinal uint64
	// milliCPU orders the nodes, ties are broken by the ordinal.
	milliCPU int64
	// memory is the worker's and maxMemory the largest in the subtree.
	memory, maxMemory int64
}

// mix is the finalizer of splitmix64. It makes priorities that look random and do not need a seed.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

func (one *node[T]) less(other *node[T]) bool {
	if one.milliCPU != other.milliCPU {
		return one.milliCPU < other.milliCPU
	}
	return one.ordinal < other.ordinal
}

func (one *node[T]) update() {
	one.maxMemory = one.memory
	if one.left != nil {
		one.maxMemory = max(one.maxMemory, one.left.maxMemory)
	}
	if one.right != nil {
		one.maxMemory = max(one.maxMemory, one.right.maxMemory)
	}
}

func (tree *tree[T]) insert(added *node[T]) {
	tree.root = insert(tree.root, added)
}

func insert[T any](root, added *node[T]) *node[T] {
	if root == nil {
		return added
	}
	if mix(added.ordinal) > mix(root.ordinal) {
		added.left, added.right = split(root, added)
		added.update()
		return added
	}
	if added.less(root) {
		root.left = insert(root.left, added)
	} else {
		root.right = insert(root.right, added)
	}
	root.maxMemory = max(root.maxMemory, added.memory)
	return root
}

// split cuts a subtree into the nodes before and after pivot.
func split[T any](root, pivot *node[T]) (before, after *node[T]) {
	if root == nil {
		return nil, nil
	}
	if root.less(pivot) {
		root.right, after = split(root.right, pivot)
		before = root
	} else {
		before, root.left = split(root.left, pivot)
		after = root
	}
	root.update()
	return before, after
}

func (tree *tree[T]) remove(removed *node[T]) {
	tree.root = remove(tree.root, removed)
}

func remove[T any](root, removed *node[T]) *node[T] {
	if root == removed {
		return merge(root.left, root.right)
	}
	if removed.less(root) {
		root.left = remove(root.left, removed)
	} else {
		root.right = remove(root.right, removed)
	}
	root.update()
	return root
}

func merge[T any](before, after *node[T]) *node[T] {
	switch {
	case before == nil:
		return after
	case after == nil:
		return before
	case mix(before.ordinal) > mix(after.ordinal):
		before.right = merge(before.right, after)
		before.update()
		return before
	default:
		after.left = merge(before, after.left)
		after.update()
		return after
	}
}

// visit calls accept for the nodes with at least these amounts, in order, until it returns false.
// It returns false if accept did.
func (one *node[T]) visit(milliCPU, memory int64, accept func(T) bool) bool {
	if one == nil || one.maxMemory < memory {
		return true
	}
	if one.milliCPU >= milliCPU {
		if !one.left.visit(milliCPU, memory, accept) {
			return false
		}
		if one.memory >= memory && !accept(one.value) {
			return false
		}
	}
	return one.right.visit(milliCPU, memory, accept)
}
