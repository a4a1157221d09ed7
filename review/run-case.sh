# Sourced by the scripts of the cases: runs one, and ends what it has started.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$here/../.."
folder=$(mktemp -d)
export PROCESSES="$folder/processes"
cleanup() {
    if [ -f "$PROCESSES" ]; then
        while read -r id; do kill -9 "$id" 2>/dev/null; done <"$PROCESSES"
    fi
    rm -rf "$folder"
}
trap cleanup EXIT
timeout 118 target/review/stand "$case_name" "$folder" "$here/record.txt"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
